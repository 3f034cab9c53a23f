package org.jackdawbeam.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.Map;

/**
 * One request and its response on a server connection. Methods may be called from any thread. The response is sent
 * either completely by {@link #respond}, or in parts by {@link #startStream} or {@link #startResponse}, {@link #write}
 * and {@link #endStream}.
 */
public final class HttpExchange {
    private static final byte[] NO_BODY = new byte[0];

    private final Channel channel;
    private final String method;
    private final String uri;
    private volatile HttpHeaders headers;
    private volatile byte[] body;
    private final boolean keepAlive;
    private final Runnable onFinished;
    private volatile boolean closeAfterResponse;
    private volatile boolean streaming;
    private volatile Runnable onClientDisconnect = () -> {};
    private volatile Runnable onWritable = () -> {};
    private volatile boolean clientDisconnected;

    HttpExchange(
            Channel channel,
            String method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            boolean keepAlive,
            Runnable onFinished) {
        this.channel = channel;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.keepAlive = keepAlive;
        this.onFinished = onFinished;
    }

    /** Returns the request method. */
    public String method() {
        return method;
    }

    /** Returns the path and query of the request. */
    public String uri() {
        return uri;
    }

    /** Returns the path of the request without its query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Returns the headers of the request. */
    public HttpHeaders headers() {
        return headers;
    }

    /** Returns the body of the request. Callers must not modify the array. */
    public byte[] body() {
        return body;
    }

    /** Frees the headers and the body of a request that is not going to be sent again. */
    public void discardRequest() {
        headers = EmptyHttpHeaders.INSTANCE;
        body = NO_BODY;
    }

    /** Returns whether the head of a streamed response has been sent. */
    public boolean isStreaming() {
        return streaming;
    }

    /** Returns whether more can be written without exceeding the write buffer limit of the connection. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Sets the action to run if the client disconnects before the response is complete. */
    public void onClientDisconnect(Runnable action) {
        onClientDisconnect = action;
        if (clientDisconnected) {
            action.run();
        }
    }

    /** Sets the action to run when the connection becomes writable again. */
    public void onWritable(Runnable action) {
        onWritable = action;
    }

    /** Closes the connection after the response. */
    public void closeAfterResponse() {
        closeAfterResponse = true;
    }

    /** Sends a complete response. */
    public void respond(int status, String contentType, byte[] content, Map<String, String> extraHeaders) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        extraHeaders.forEach((name, value) -> response.headers().set(name, value));
        HttpUtil.setContentLength(response, content.length);
        if (keepsConnectionOpen()) {
            channel.writeAndFlush(response).addListener(done -> onFinished.run());
            return;
        }
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Sends the head of an event stream. */
    public void startStream(Map<String, String> extraHeaders) {
        streaming = true;
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_EVENT_STREAM);
        head.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
        extraHeaders.forEach((name, value) -> head.headers().set(name, value));
        HttpUtil.setTransferEncodingChunked(head, true);
        if (!keepsConnectionOpen()) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.write(head);
    }

    /** Sends the head of a response whose body follows in parts; without a Content-Length it is sent chunked. */
    public void startResponse(int status, HttpHeaders responseHeaders) {
        streaming = true;
        HttpResponseStatus responseStatus = HttpResponseStatus.valueOf(status);
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, responseStatus, responseHeaders);
        boolean hasBody =
                status != HttpResponseStatus.NO_CONTENT.code() && status != HttpResponseStatus.NOT_MODIFIED.code();
        if (hasBody && !responseHeaders.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        if (!keepsConnectionOpen()) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.write(head);
    }

    /** Sends a part of a streamed response and takes ownership of the buffer. */
    public void write(ByteBuf part) {
        channel.writeAndFlush(new DefaultHttpContent(part));
    }

    /**
     * Ends a streamed response.
     *
     * @return completed when the response has been written to the connection, or the connection has closed
     */
    public Future<Void> endStream() {
        ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (keepsConnectionOpen()) {
            return written.addListener(done -> onFinished.run());
        }
        return written.addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection without completing the response, so that the client can tell that it is truncated. */
    public void abort() {
        channel.close();
    }

    void clientDisconnected() {
        clientDisconnected = true;
        onClientDisconnect.run();
    }

    void notifyWritable() {
        onWritable.run();
    }

    private boolean keepsConnectionOpen() {
        return keepAlive && !closeAfterResponse;
    }
}
