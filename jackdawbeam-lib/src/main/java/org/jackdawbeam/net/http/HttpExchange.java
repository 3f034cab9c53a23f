package org.jackdawbeam.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Map;

/**
 * One request and its answer on a server connection. Methods may be called from any thread; the answer is either sent
 * at once by {@link #respond} or as a stream by {@link #startStream}, {@link #write} and {@link #endStream}.
 */
public final class HttpExchange {
    private final Channel channel;
    private final String method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] body;
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

    /** Returns path and query of the request. */
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

    /** Returns the body of the request. The array must not be changed. */
    public byte[] body() {
        return body;
    }

    /** Returns whether the head of a streamed answer has been sent. */
    public boolean isStreaming() {
        return streaming;
    }

    /** Returns whether more may be written without filling memory. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Sets what to do when the caller disconnects before the answer is complete. */
    public void onClientDisconnect(Runnable action) {
        onClientDisconnect = action;
        if (clientDisconnected) {
            action.run();
        }
    }

    /** Sets what to do when the connection can take more again. */
    public void onWritable(Runnable action) {
        onWritable = action;
    }

    /** Closes the connection after the answer. */
    public void closeAfterResponse() {
        closeAfterResponse = true;
    }

    /** Sends a whole answer. */
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

    /** Sends the head of an answer whose body follows part by part; without a length it is sent in chunks. */
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

    /** Sends a part of a streamed answer. Takes over the buffer. */
    public void write(ByteBuf part) {
        channel.writeAndFlush(new DefaultHttpContent(part));
    }

    /** Ends a streamed answer. */
    public void endStream() {
        if (keepsConnectionOpen()) {
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(done -> onFinished.run());
            return;
        }
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(ChannelFutureListener.CLOSE);
    }

    /** Ends the connection without completing the answer, so that the caller sees that it is not whole. */
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
