package org.jackdawbeam.net.fleet;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.jackdawbeam.logic.fleet.FleetEffect.StartAttempt;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.FleetRequest;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.net.http.MergedHeadException;
import org.jackdawbeam.net.target.AnswerHeadLimit;
import org.jackdawbeam.net.target.TargetAddress;
import org.jackdawbeam.net.target.TargetConnections;

/** Sends the request of one attempt to a target, and relays the response once the reducer has selected it. */
final class AttemptRelay extends SimpleChannelInboundHandler<HttpObject> {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String COMPLETE = "complete";
    private static final String CANCELLED = "cancelled";

    private final StartAttempt start;
    private final RelayedRequest request;
    private final TargetDialect dialect;
    private final TargetConnections connections;
    private final FleetLoop loop;
    private final Runnable onComplete;
    private final InetSocketAddress address;
    private final AttemptTrace trace;
    private Optional<Channel> channel = Optional.empty();
    private Optional<EventStreamSplitter> splitter = Optional.empty();
    private Optional<EventBoundary> boundary = Optional.empty();
    private Optional<EmbeddedHeadFinder> headFinder = Optional.empty();
    private HttpHeaders responseHeaders = EmptyHttpHeaders.INSTANCE;
    private String contentType = "";
    private int status;
    private long idleMillis;
    private boolean discarding;
    private boolean relaying;
    private boolean bodyStarted;
    private boolean written;
    private boolean requestFlushed;
    private boolean ended;
    private boolean receivedOtherResponse;
    private boolean responded;

    AttemptRelay(
            StartAttempt start,
            RelayedRequest request,
            TargetDialect dialect,
            TargetConnections connections,
            FleetLoop loop,
            Runnable onComplete) {
        this.start = start;
        this.request = request;
        this.dialect = dialect;
        this.connections = connections;
        this.loop = loop;
        this.onComplete = onComplete;
        this.address = TargetAddress.parse(start.target().address());
        this.trace = new AttemptTrace(start);
    }

    void start() {
        connections.acquire(address, start.callerRequestId(), this::connected);
    }

    /** Starts to relay the response, beginning with its head. */
    void relay() {
        relaying = true;
        if (start.resumable()) {
            splitter = Optional.of(new EventStreamSplitter(channel.orElseThrow().alloc(), request.lastEventId()));
        }
        if (start.resumable() || boundary.isPresent()) {
            // A stream of the stated length would look complete even if its last event is not.
            responseHeaders.remove(HttpHeaderNames.CONTENT_LENGTH);
        }
        if (!request.headSent()) {
            request.markHeadSent(contentType);
            request.exchange().startResponse(status, responseHeaders);
        }
    }

    /** Cancels the attempt; nothing more of its response is relayed. */
    void cancel() {
        if (!ended) {
            end(CANCELLED);
            channel.ifPresent(Channel::close);
        }
    }

    private void connected(Optional<Channel> opened) {
        if (ended) {
            opened.ifPresent(open -> connections.release(address, open));
            return;
        }
        if (opened.isEmpty()) {
            fail(AttemptFailure.CONNECT_FAILED);
            return;
        }
        channel = opened;
        if (loop.isLagging()) {
            // The caller may have disconnected while the connection was opened; only the next reads show that.
            loop.runAfterPendingReads(() -> send(opened.get()));
            return;
        }
        send(opened.get());
    }

    private void send(Channel open) {
        if (ended) {
            return;
        }
        long nowMillis = loop.nowMillis();
        if (nowMillis >= start.sendUntilMillis() || nowMillis >= start.expiresAtMillis()) {
            // Connecting took long or the process was paused, so the decision to send may no longer be valid.
            fail(AttemptFailure.PERMISSION_ENDED);
            return;
        }
        if (!open.isActive()) {
            fail(AttemptFailure.CONNECT_FAILED);
            return;
        }
        TargetConnections.startRequest(open, start.callerRequestId());
        trace.sentOn(open, nowMillis);
        headFinder = Optional.of(new EmbeddedHeadFinder((name, value) ->
                dialect.isRequestId(name) && !value.isEmpty() && TargetConnections.mayHaveCarried(open, value)));
        open.pipeline().addLast(this);
        byte[] body = request.exchange().body();
        HttpHeaders headers = dialect.requestHeaders(
                request.exchange().headers(), start, start.expiresAtMillis() - nowMillis, request.lastEventId());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (body.length > 0 || request.exchange().headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        written = true;
        open.writeAndFlush(new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.exchange().method()),
                        request.exchange().uri(),
                        Unpooled.wrappedBuffer(body),
                        headers,
                        EmptyHttpHeaders.INSTANCE))
                .addListener(done -> flushed(done.isSuccess()));
    }

    private void flushed(boolean success) {
        requestFlushed = success;
        discardIfCallerLeft();
    }

    /** Frees a request that has been sent and is not sent again, because its caller is known to have left. */
    void discardIfCallerLeft() {
        FleetRequest known = loop.state().requests().get(start.attempt().requestId());
        if (written && known != null && known.callerLeft()) {
            request.exchange().discardRequest();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (ended) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            boolean merged = message.decoderResult().cause() instanceof MergedHeadException;
            fail(merged ? AttemptFailure.MERGED_ANSWER : AttemptFailure.MALFORMED_ANSWER);
            return;
        }
        if (message instanceof HttpResponse response) {
            onHead(response);
        }
        if (message instanceof HttpContent content && !ended) {
            onContent(context, content);
        }
    }

    private void onHead(HttpResponse response) {
        ResponseHead head = dialect.read(response, start.callerRequestId());
        discarding = head.forOtherRequest() || response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (discarding) {
            if (head.forOtherRequest() && !receivedOtherResponse) {
                trace.logOtherResponse(response, head);
                receivedOtherResponse = true;
            }
            return;
        }
        if (responded) {
            fail(AttemptFailure.REPEATED_ANSWER);
            return;
        }
        responded = true;
        channel.ifPresent(AnswerHeadLimit::responseStarted);
        if (!head.identified() && channel.map(TargetConnections::isReused).orElse(false)) {
            // It may repeat the response to an earlier request, and then says nothing about this one.
            fail(AttemptFailure.UNIDENTIFIED_ANSWER);
            return;
        }
        status = response.status().code();
        trace.answered(response, head);
        boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success && head.signature().isEmpty()) {
            fail(AttemptFailure.UNSIGNED_ANSWER);
            return;
        }
        idleMillis = head.idleMillis();
        responseHeaders = dialect.responseHeaders(response.headers());
        contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        boundary = success && isEventStream(contentType) ? Optional.of(new EventBoundary()) : Optional.empty();
        boolean sameType = !request.headSent() || contentType.equals(request.contentType());
        loop.submit(new FleetEvent.AttemptAnswered(
                loop.nowMillis(), start.attempt(), status, head.notExecuted(), sameType, head.statement()));
    }

    private static boolean isEventStream(String type) {
        return type.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
    }

    private void onContent(ChannelHandlerContext context, HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (discarding) {
            discarding = !last;
            return;
        }
        if (!relaying) {
            return;
        }
        if (content.content().isReadable()) {
            forward(context, content.content());
        }
        if (last && !ended) {
            complete(context);
        }
    }

    private void forward(ChannelHandlerContext context, ByteBuf bytes) {
        if (headFinder.map(finder -> finder.add(bytes)).orElse(false)) {
            fail(AttemptFailure.REPEATED_ANSWER);
            return;
        }
        boolean success = HttpStatusClass.valueOf(status) == HttpStatusClass.SUCCESS;
        if (!bodyStarted && success) {
            bodyStarted = true;
            loop.submit(new FleetEvent.AttemptStreaming(loop.nowMillis(), start.attempt()));
        }
        trace.relayed(bytes.readableBytes(), loop.nowMillis());
        boundary.ifPresent(end -> end.add(bytes));
        ByteBuf part = splitter.map(open -> open.add(bytes)).orElseGet(bytes::retain);
        if (splitter.map(EventStreamSplitter::isTooLong).orElse(false)) {
            part.release();
            fail(AttemptFailure.OVERSIZED_ANSWER);
            return;
        }
        if (!part.isReadable()) {
            part.release();
            return;
        }
        request.exchange().write(part);
        splitter.ifPresent(open -> request.setLastEventId(open.lastId()));
        if (!request.exchange().isWritable()) {
            Channel paused = context.channel();
            paused.config().setAutoRead(false);
            request.exchange().onWritable(() -> paused.config().setAutoRead(true));
        }
    }

    private void complete(ChannelHandlerContext context) {
        boolean insideEvent = splitter.map(EventStreamSplitter::hasIncompleteEvent)
                .or(() -> boundary.map(EventBoundary::isInsideEvent))
                .orElse(false);
        if (insideEvent) {
            fail(AttemptFailure.CONNECTION_LOST);
            return;
        }
        end(COMPLETE);
        Future<Void> callerWritten = request.exchange().endStream();
        context.channel().config().setAutoRead(true);
        if (requestFlushed && !receivedOtherResponse) {
            context.pipeline().remove(this);
            connections.release(address, context.channel(), idleMillis);
        } else {
            context.close();
        }
        onComplete.run();
        loop.submit(new FleetEvent.AttemptCompleted(loop.nowMillis(), start.attempt(), trace.longestPauseMillis()));
        if (!callerWritten.isDone()) {
            long id = start.attempt().requestId();
            loop.submit(new FleetEvent.AnswerBuffered(loop.nowMillis(), id));
            callerWritten.addListener(done -> loop.submit(new FleetEvent.AnswerWritten(loop.nowMillis(), id)));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(AttemptFailure.CONNECTION_LOST);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        boolean tooLong = cause instanceof TooLongFrameException;
        fail(tooLong ? AttemptFailure.OVERSIZED_ANSWER : AttemptFailure.CONNECTION_LOST);
    }

    private void fail(AttemptFailure failure) {
        if (ended) {
            return;
        }
        end(failure.name());
        channel.ifPresent(Channel::close);
        loop.submit(new FleetEvent.AttemptFailed(loop.nowMillis(), start.attempt(), failure, written));
    }

    private void end(String outcome) {
        ended = true;
        if (written) {
            trace.logEnd(outcome);
        }
        splitter.ifPresent(EventStreamSplitter::close);
    }
}
