package org.jackdawbeam.net.http;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jackdawbeam.logic.budget.Holding;
import org.jackdawbeam.net.budget.HeldAccount;

/** Handles the pipelined requests of one connection in order, one at a time. */
final class ServerConnection extends SimpleChannelInboundHandler<ReceivedRequest> {
    /** What is buffered for a client that does not read: the rest of a write, and what its target sends meanwhile. */
    private static final long UNREAD_ANSWER_BYTES = 192 * 1_024;

    private static final String OVERLOAD_RETRY_SECONDS = "1";

    private final HttpExchangeHandler handler;
    private final ReceiveDeadline deadline;
    private final HeldAccount account;
    private final Runnable onFinished;
    private final Deque<ReceivedRequest> pendingRequests = new ArrayDeque<>();
    private HttpExchange current;
    private long currentBytes;
    private boolean stalled;
    private boolean failed;

    /**
     * Creates the handler of a connection.
     *
     * @param onFinished runs when all requests received so far have been answered
     */
    ServerConnection(HttpExchangeHandler handler, ReceiveDeadline deadline, HeldAccount account, Runnable onFinished) {
        this.handler = handler;
        this.deadline = deadline;
        this.account = account;
        this.onFinished = onFinished;
    }

    /** Returns whether the next request may be received. */
    boolean isAccepting() {
        return current == null && !failed && !account.isEvicted();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ReceivedRequest request) {
        deadline.requestComplete();
        pendingRequests.add(request);
        startNext(context);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        switch (event) {
            case HttpRequestError error -> fail(context, error);
            case IdleStateEvent idle when current == null -> context.close();
            default -> context.fireUserEventTriggered(event);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        boolean writable = context.channel().isWritable();
        if (current != null && writable) {
            current.notifyWritable();
        }
        if (current != null && !writable && !stalled) {
            stalled = true;
            account.begin(Holding.Phase.STALLED);
            account.add(UNREAD_ANSWER_BYTES);
        } else if (writable && stalled) {
            stalled = false;
            account.release(UNREAD_ANSWER_BYTES);
            account.begin(current == null ? Holding.Phase.IDLE : Holding.Phase.ANSWERING);
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pendingRequests.clear();
        if (current != null) {
            HttpExchange unfinished = current;
            current = null;
            unfinished.clientDisconnected();
        }
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void startNext(ChannelHandlerContext context) {
        if (current != null || pendingRequests.isEmpty() || failed || account.isEvicted()) {
            return;
        }
        ReceivedRequest request = pendingRequests.poll();
        currentBytes = request.heldBytes();
        account.begin(Holding.Phase.ANSWERING);
        current = exchange(context, request);
        handler.handle(current);
    }

    private HttpExchange exchange(ChannelHandlerContext context, ReceivedRequest request) {
        return new HttpExchange(
                context.channel(),
                request.head().method().name(),
                request.head().uri(),
                request.head().headers(),
                request.body(),
                HttpUtil.isKeepAlive(request.head()),
                () -> context.executor().execute(() -> finished(context)));
    }

    private void finished(ChannelHandlerContext context) {
        current = null;
        account.release(currentBytes);
        account.begin(Holding.Phase.IDLE);
        startNext(context);
        if (current == null) {
            onFinished.run();
        }
    }

    private void fail(ChannelHandlerContext context, HttpRequestError error) {
        if (failed) {
            return;
        }
        failed = true;
        if (current != null) {
            context.close();
            return;
        }
        byte[] body = error.body().getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(error.status()),
                context.alloc().buffer().writeBytes(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(response, body.length);
        if (error == HttpRequestError.OVERLOADED) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, OVERLOAD_RETRY_SECONDS);
        }
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
