package org.jackdawbeam.net.target;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jackdawbeam.logic.entry.Effect.StartAttempt;
import org.jackdawbeam.logic.request.Work;
import org.jackdawbeam.model.bundle.TargetKind;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.model.request.StoredAnswer;
import org.jackdawbeam.model.settings.EntryTimings;
import org.jackdawbeam.net.caller.KeyReader;
import org.jackdawbeam.net.caller.OpenRequest;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.trace.Tracing;

/** Sends requests to targets. Only allow-listed headers and an opaque workspace id are forwarded. */
public final class TargetClient {
    private static final String WORKSPACE_HEADER = "x-workspace-id";
    private static final int WORKSPACE_ID_LENGTH = 16;
    private static final String SERVICES_PREFIX = "/services/";

    private final TargetConnections connections;
    private final EntryTimings timings;
    private final MessageMapper mapper;
    private final Tracing tracing;
    private final Map<AttemptId, RunningAttempt> running = new ConcurrentHashMap<>();

    private record RunningAttempt(Attempt attempt, Channel channel) {}

    public TargetClient(TargetConnections connections, EntryTimings timings, MessageMapper mapper, Tracing tracing) {
        this.connections = connections;
        this.timings = timings;
        this.mapper = mapper;
        this.tracing = tracing;
    }

    /** Starts an attempt and reports its progress and result to the listener. */
    public void start(StartAttempt start, OpenRequest request, AttemptListener listener) {
        request.startAttempt(start.attempt());
        boolean newConnection = !start.work().repeatable();
        boolean storesResponse = start.work() instanceof Work.Service service && service.needsClaim();
        DefaultFullHttpRequest message = buildRequest(start, request);
        Span span = tracing.startClientSpan("attempt " + start.target().name(), request.span(), message.headers());
        Attempt attempt = new Attempt(
                start.attempt(),
                TargetAddress.parse(start.target().address()),
                request,
                isStreamed(start.work()),
                storesResponse,
                timings,
                new SpanEndingListener(listener, span, start.attempt()),
                new AtomicBoolean());
        boolean engine = start.target().kind() == TargetKind.ENGINE;
        Consumer<Optional<Channel>> receiver = channel -> {
            if (channel.isEmpty()) {
                message.release();
                attempt.fail(AttemptFailure.CONNECT_FAILED, false);
                return;
            }
            send(channel.get(), attempt, message, engine);
        };
        if (newConnection) {
            connections.acquireNew(attempt.address(), receiver);
        } else {
            connections.acquire(attempt.address(), attempt.id().toString(), receiver);
        }
    }

    /** Cancels an attempt whose response is no longer needed. The target notices that the connection is closed. */
    public void cancel(AttemptId id) {
        RunningAttempt found = running.get(id);
        if (found != null) {
            found.channel().close();
            found.attempt().fail(AttemptFailure.CONNECTION_LOST, true);
        }
    }

    private void send(Channel channel, Attempt attempt, DefaultFullHttpRequest message, boolean engine) {
        channel.eventLoop().execute(() -> {
            if (!channel.isActive()) {
                message.release();
                attempt.fail(AttemptFailure.CONNECT_FAILED, false);
                return;
            }
            running.put(attempt.id(), new RunningAttempt(attempt, channel));
            TargetConnections.startRequest(channel, attempt.id().toString());
            channel.pipeline().addLast(new AttemptHandler(attempt, connections, mapper.objectMapper(), engine));
            attempt.listener().onWritten();
            channel.writeAndFlush(message);
        });
    }

    private DefaultFullHttpRequest buildRequest(StartAttempt start, OpenRequest request) {
        byte[] body = request.completion()
                .map(completion -> completionBody(completion, start))
                .orElse(request.exchange().body());
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.exchange().method()),
                targetUri(request.exchange().uri()),
                Unpooled.wrappedBuffer(body));
        message.headers().set(request.targetHeaders());
        message.headers().set(HttpHeaderNames.HOST, start.target().address());
        start.workspace().ifPresent(workspace -> message.headers().set(WORKSPACE_HEADER, opaqueId(workspace)));
        HttpUtil.setContentLength(message, body.length);
        return message;
    }

    private byte[] completionBody(ObjectNode completion, StartAttempt start) {
        ObjectNode body = completion.deepCopy();
        if (start.work() instanceof Work.Completion work) {
            body.put("model", work.adapter().orElse(work.model()));
        }
        body.put(
                "request_id",
                start.attempt().requestId() + "-" + start.attempt().number());
        if (start.resumeOffset() > 0) {
            body.put("resume_offset", start.resumeOffset());
        }
        return mapper.write(body);
    }

    private static String targetUri(String uri) {
        if (!uri.startsWith(SERVICES_PREFIX)) {
            return uri;
        }
        int query = uri.indexOf('?');
        int pathEnd = query < 0 ? uri.length() : query;
        int afterService = uri.indexOf('/', SERVICES_PREFIX.length());
        boolean noSubpath = afterService < 0 || afterService > pathEnd;
        return noSubpath ? "/" + uri.substring(pathEnd) : uri.substring(afterService);
    }

    private static String opaqueId(String workspace) {
        return KeyReader.sha256(workspace.getBytes(StandardCharsets.UTF_8)).substring(0, WORKSPACE_ID_LENGTH);
    }

    private static boolean isStreamed(Work work) {
        return work instanceof Work.Completion completion && completion.call().streamed();
    }

    private final class SpanEndingListener implements AttemptListener {
        private final AttemptListener next;
        private final Span span;
        private final AttemptId id;

        SpanEndingListener(AttemptListener next, Span span, AttemptId id) {
            this.next = next;
            this.span = span;
            this.id = id;
        }

        @Override
        public void onWritten() {
            next.onWritten();
        }

        @Override
        public void onAnswering() {
            span.addEvent("answering");
            next.onAnswering();
        }

        @Override
        public void onCompleted(long generatedTokens, double slowGapShare, Optional<StoredAnswer> answer) {
            running.remove(id);
            span.end();
            next.onCompleted(generatedTokens, slowGapShare, answer);
        }

        @Override
        public void onFailed(AttemptFailure failure, boolean mayHaveRun) {
            running.remove(id);
            span.setStatus(StatusCode.ERROR, failure.name());
            span.end();
            next.onFailed(failure, mayHaveRun);
        }
    }
}
