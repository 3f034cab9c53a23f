package org.jackdawbeam.net.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jackdawbeam.logic.target.TargetState;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.StoredAnswer;
import org.jackdawbeam.net.http.BufferedHttpResponse;
import org.jackdawbeam.net.http.HttpExchange;
import org.jackdawbeam.net.http.MergedHeadException;

/** Receives the response of one attempt and relays it as a stream or buffers it. */
final class AttemptHandler extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final double NANOS_PER_MILLI = 1_000_000;
    private static final int STATUS_OK = 200;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final String EVENT_STREAM = "text/event-stream";

    private final Attempt attempt;
    private final TargetConnections connections;
    private final ObjectMapper mapper;
    private final boolean engine;
    private Future<?> silenceTimer;
    private EventSplitter splitter;
    private ByteBuf bodyBuffer;
    private int status;
    private String contentType = "";
    private boolean keepAlive;
    private boolean relaysStream;
    private boolean cannotContinue;
    private long firstTokenAtNanos;
    private long lastTokenAtNanos;
    private long slowGaps;
    private long lastActivityNanos = System.nanoTime();

    AttemptHandler(Attempt attempt, TargetConnections connections, ObjectMapper mapper, boolean engine) {
        this.attempt = attempt;
        this.connections = connections;
        this.mapper = mapper;
        this.engine = engine;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        scheduleSilenceCheck(context, attempt.timings().firstByteMillis());
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        silenceTimer.cancel(false);
        if (splitter != null) {
            splitter.close();
        }
        if (bodyBuffer != null) {
            bodyBuffer.release();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        lastActivityNanos = System.nanoTime();
        if (message.decoderResult().isFailure()) {
            boolean merged = message.decoderResult().cause() instanceof MergedHeadException;
            fail(context, merged ? AttemptFailure.MERGED_ANSWER : AttemptFailure.MALFORMED_ANSWER);
            return;
        }
        if (message instanceof HttpResponse response) {
            onResponseHead(context, response);
        }
        if (message instanceof HttpContent content) {
            onResponseContent(context, content);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        attempt.fail(AttemptFailure.CONNECTION_LOST, true);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        boolean tooLong = cause instanceof TooLongFrameException;
        fail(context, tooLong ? AttemptFailure.OVERSIZED_ANSWER : AttemptFailure.CONNECTION_LOST);
    }

    private void onResponseHead(ChannelHandlerContext context, HttpResponse response) {
        AnswerHeadLimit.responseStarted(context.channel());
        status = response.status().code();
        contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        keepAlive = HttpUtil.isKeepAlive(response);
        boolean started = attempt.request().exchange().isStreaming();
        boolean continues = status == STATUS_OK && contentType.startsWith(EVENT_STREAM);
        cannotContinue = started && !continues;
        relaysStream = attempt.streamed() && status == STATUS_OK && !cannotContinue;
        if (relaysStream) {
            splitter = new EventSplitter(context.alloc());
        } else {
            bodyBuffer = context.alloc().buffer();
        }
    }

    private void onResponseContent(ChannelHandlerContext context, HttpContent content) {
        if (!attempt.isCurrent()) {
            context.close();
            return;
        }
        if (relaysStream) {
            relay(context, content.content());
        } else if (bodyBuffer.readableBytes() + content.content().readableBytes() > MAXIMUM_RESPONSE_BYTES) {
            fail(context, AttemptFailure.OVERSIZED_ANSWER);
            return;
        } else {
            bodyBuffer.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            onResponseEnd(context);
        }
    }

    private void relay(ChannelHandlerContext context, ByteBuf bytes) {
        long before = splitter.tokens();
        ByteBuf events = splitter.add(bytes);
        if (!events.isReadable()) {
            events.release();
            if (splitter.isTooLong()) {
                fail(context, AttemptFailure.OVERSIZED_ANSWER);
            }
            return;
        }
        long added = splitter.tokens() - before;
        if (firstTokenAtNanos == 0) {
            firstTokenAtNanos = System.nanoTime();
            attempt.listener().onAnswering();
        }
        countSlowGap(added);
        HttpExchange exchange = attempt.request().exchange();
        if (!exchange.isStreaming()) {
            exchange.startStream(Map.of());
        }
        exchange.write(events);
        attempt.request().addRelayedTokens(added);
        if (!exchange.isWritable()) {
            pauseUntilWritable(context, exchange);
        }
    }

    /** Counts the gap before these tokens if it is too long; tokens that arrive together have no gap between them. */
    private void countSlowGap(long added) {
        long nowNanos = System.nanoTime();
        boolean slow =
                lastTokenAtNanos != 0 && nowNanos - lastTokenAtNanos > TargetState.SLOW_GAP_MILLIS * NANOS_PER_MILLI;
        slowGaps += slow && added > 0 ? 1 : 0;
        lastTokenAtNanos = nowNanos;
    }

    private void pauseUntilWritable(ChannelHandlerContext context, HttpExchange exchange) {
        context.channel().config().setAutoRead(false);
        exchange.onWritable(() -> context.executor().execute(() -> {
            lastActivityNanos = System.nanoTime();
            context.channel().config().setAutoRead(true);
        }));
    }

    private void onResponseEnd(ChannelHandlerContext context) {
        if (relaysStream) {
            finishStream(context);
            return;
        }
        if (firstTokenAtNanos == 0) {
            attempt.listener().onAnswering();
        }
        if (engine && isRejection()) {
            // A copy of the rejection may follow, and responses do not name their requests.
            context.close();
            attempt.fail(AttemptFailure.REJECTED, false);
            return;
        }
        if (engine && status >= FIRST_SERVER_ERROR_STATUS) {
            release(context);
            attempt.fail(AttemptFailure.SERVER_ERROR, true);
            return;
        }
        if (cannotContinue) {
            fail(context, AttemptFailure.MALFORMED_ANSWER);
            return;
        }
        byte[] body = ByteBufUtil.getBytes(bodyBuffer);
        long tokens = engine ? generatedTokens(body) : -1;
        if (engine && status == 200 && tokens < 0) {
            fail(context, AttemptFailure.MALFORMED_ANSWER);
            return;
        }
        attempt.request().setResponse(new BufferedHttpResponse(status, contentType, body));
        Optional<StoredAnswer> stored = attempt.storesResponse()
                ? Optional.of(new StoredAnswer(
                        status, contentType, Base64.getEncoder().encodeToString(body)))
                : Optional.empty();
        release(context);
        reportCompletion(tokens, -1, stored);
    }

    private void finishStream(ChannelHandlerContext context) {
        if (!splitter.isDone()) {
            fail(context, AttemptFailure.CONNECTION_LOST);
            return;
        }
        long tokens = splitter.tokens();
        double slowGapShare = tokens > 1 ? (double) slowGaps / (tokens - 1) : -1;
        release(context);
        reportCompletion(attempt.request().relayedTokens(), slowGapShare, Optional.empty());
    }

    private void reportCompletion(long tokens, double slowGapShare, Optional<StoredAnswer> stored) {
        if (attempt.ended().compareAndSet(false, true)) {
            attempt.listener().onCompleted(tokens, slowGapShare, stored);
        }
    }

    /** Returns whether the status means that the engine has not started the request. */
    private boolean isRejection() {
        return status == 404 || status == 409 || status == 429 || status == 503;
    }

    private long generatedTokens(byte[] body) {
        if (status != 200) {
            return 0;
        }
        try {
            JsonNode usage = mapper.readTree(body).path("usage").path("completion_tokens");
            return usage.isIntegralNumber() ? usage.longValue() : -1;
        } catch (IOException e) {
            return -1;
        }
    }

    private void release(ChannelHandlerContext context) {
        if (keepAlive) {
            context.pipeline().remove(this);
            connections.release(attempt.address(), context.channel());
        } else {
            context.close();
        }
    }

    private void fail(ChannelHandlerContext context, AttemptFailure failure) {
        attempt.fail(failure, true);
        context.close();
    }

    private void scheduleSilenceCheck(ChannelHandlerContext context, long delayMillis) {
        silenceTimer = context.executor()
                .schedule(() -> checkSilence(context), Math.max(1, delayMillis), TimeUnit.MILLISECONDS);
    }

    private void checkSilence(ChannelHandlerContext context) {
        boolean paused = !context.channel().config().isAutoRead();
        long limitMillis = status == 0
                ? attempt.timings().firstByteMillis()
                : attempt.timings().betweenTokensMillis();
        long silentMillis = (System.nanoTime() - lastActivityNanos) / (long) NANOS_PER_MILLI;
        if (!paused && silentMillis >= limitMillis) {
            fail(context, AttemptFailure.TIMED_OUT);
            return;
        }
        scheduleSilenceCheck(context, paused ? limitMillis : limitMillis - silentMillis);
    }
}
