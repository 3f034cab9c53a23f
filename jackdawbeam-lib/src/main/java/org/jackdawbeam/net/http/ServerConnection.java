package org.jackdawbeam.net.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

/** Handles the pipelined requests of one connection in order, one at a time. */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MAXIMUM_PIPELINED = 16;

    private final HttpExchangeHandler handler;
    private final ReceiveDeadline deadline;
    private final Deque<FullHttpRequest> pendingRequests = new ArrayDeque<>();
    private HttpExchange current;
    private boolean failed;

    ServerConnection(HttpExchangeHandler handler, ReceiveDeadline deadline) {
        this.handler = handler;
        this.deadline = deadline;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        deadline.requestComplete();
        if (request.decoderResult().isFailure()) {
            fail(context, requestError(request.decoderResult().cause()));
            return;
        }
        pendingRequests.add(request.retain());
        context.channel().config().setAutoRead(pendingRequests.size() < MAXIMUM_PIPELINED);
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
        if (current != null && context.channel().isWritable()) {
            current.notifyWritable();
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pendingRequests.forEach(ReferenceCountUtil::release);
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
        if (current != null || pendingRequests.isEmpty() || failed) {
            return;
        }
        FullHttpRequest request = pendingRequests.poll();
        try {
            current = exchange(context, request);
        } finally {
            request.release();
        }
        handler.handle(current);
    }

    private HttpExchange exchange(ChannelHandlerContext context, FullHttpRequest request) {
        return new HttpExchange(
                context.channel(),
                request.method().name(),
                request.uri(),
                request.headers(),
                ByteBufUtil.getBytes(request.content()),
                HttpUtil.isKeepAlive(request),
                () -> context.executor().execute(() -> finished(context)));
    }

    private void finished(ChannelHandlerContext context) {
        current = null;
        context.channel().config().setAutoRead(true);
        startNext(context);
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
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private static HttpRequestError requestError(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return tooLong ? HttpRequestError.HEADERS_TOO_LARGE : HttpRequestError.MALFORMED;
    }
}
