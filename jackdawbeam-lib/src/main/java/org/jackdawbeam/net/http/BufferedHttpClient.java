package org.jackdawbeam.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.tinylog.Logger;

/**
 * HTTP/1.1 client for control traffic that buffers each response completely. A connection returns to the pool only
 * after a complete response and is closed after any failure, so that an unresponsive connection is not used again. The
 * idle connections to its address are closed too, because whatever silenced one may have silenced all. A pooled
 * connection is closed if it receives data while it is idle, because that data belongs to no request.
 *
 * <p>A request whose future is cancelled is given up, and its connection is closed.
 */
public final class BufferedHttpClient {
    private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024; // four times the largest configuration
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAXIMUM_IDLE_CONNECTIONS = 4;

    private final EventLoopGroup group;
    private final int maximumIdleConnections;
    private final int maximumResponseBytes;
    private final Map<InetSocketAddress, Deque<Channel>> idleConnections = new ConcurrentHashMap<>();

    public BufferedHttpClient(EventLoopGroup group) {
        this(group, MAXIMUM_IDLE_CONNECTIONS, MAXIMUM_RESPONSE_BYTES);
    }

    private BufferedHttpClient(EventLoopGroup group, int maximumIdleConnections, int maximumResponseBytes) {
        this.group = group;
        this.maximumIdleConnections = maximumIdleConnections;
        this.maximumResponseBytes = maximumResponseBytes;
    }

    /** Returns a client for servers whose responses have at most the given size; a longer one fails its request. */
    public static BufferedHttpClient withMaximumResponse(EventLoopGroup group, int maximumResponseBytes) {
        return new BufferedHttpClient(group, MAXIMUM_IDLE_CONNECTIONS, maximumResponseBytes);
    }

    /**
     * Returns a client that opens a new connection for each request. Use it for servers whose responses carry no
     * request id and that may send a response twice: on a reused connection the duplicate would be taken for the
     * response to the next request.
     */
    public static BufferedHttpClient withoutConnectionReuse(EventLoopGroup group, int maximumResponseBytes) {
        return new BufferedHttpClient(group, 0, maximumResponseBytes);
    }

    /**
     * Sends a request. The future fails with a {@link JackdawbeamException} of code
     * {@link ErrorCode#CONNECTION_FAILED}, {@link ErrorCode#CONNECTION_SILENT} if the response does not arrive in time,
     * or {@link ErrorCode#MESSAGE_MALFORMED} if it is invalid or too large.
     *
     * @param timeoutMillis time from sending the request until the complete response must have arrived
     */
    public CompletableFuture<BufferedHttpResponse> send(
            InetSocketAddress address,
            String method,
            String uri,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis) {
        return send(address, method, uri, headers, body, timeoutMillis, () -> true);
    }

    /**
     * Sends a request if that is still permitted once the connection is established, which may be much later than this
     * call. Otherwise nothing is sent and the future fails with {@link ErrorCode#NOT_PERMITTED}.
     */
    public CompletableFuture<BufferedHttpResponse> send(
            InetSocketAddress address,
            String method,
            String uri,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis,
            BooleanSupplier permitted) {
        CompletableFuture<BufferedHttpResponse> response = new CompletableFuture<>();
        DefaultFullHttpRequest request = request(address, method, uri, headers, body);
        Runnable onNewConnection = () -> connectAndExchange(address, request, response, timeoutMillis, permitted);
        Channel pooled = takeIdleConnection(address);
        if (pooled == null) {
            onNewConnection.run();
            return response;
        }
        pooled.eventLoop().execute(() -> {
            if (pooled.isActive()) {
                exchange(pooled, address, request, response, timeoutMillis, permitted);
            } else {
                onNewConnection.run();
            }
        });
        return response;
    }

    /** Sends a request without a body on a connection that is opened for it. */
    CompletableFuture<BufferedHttpResponse> sendOnNewConnection(
            InetSocketAddress address, String method, String uri, long timeoutMillis) {
        CompletableFuture<BufferedHttpResponse> response = new CompletableFuture<>();
        DefaultFullHttpRequest request = request(address, method, uri, Map.of(), new byte[0]);
        connectAndExchange(address, request, response, timeoutMillis, () -> true);
        return response;
    }

    /** Closes the idle connections to an address. */
    void closeIdleConnections(InetSocketAddress address) {
        Deque<Channel> channels = idleConnections.get(address);
        if (channels == null) {
            return;
        }
        synchronized (channels) {
            channels.forEach(Channel::close);
            channels.clear();
        }
    }

    private static DefaultFullHttpRequest request(
            InetSocketAddress address, String method, String uri, Map<String, String> headers, byte[] body) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri, Unpooled.wrappedBuffer(body));
        headers.forEach((name, value) -> request.headers().set(name, value));
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        HttpUtil.setContentLength(request, body.length);
        return request;
    }

    private void connectAndExchange(
            InetSocketAddress address,
            DefaultFullHttpRequest request,
            CompletableFuture<BufferedHttpResponse> response,
            long timeoutMillis,
            BooleanSupplier permitted) {
        connect(address).addListener(done -> {
            ChannelFuture connected = (ChannelFuture) done;
            if (connected.isSuccess()) {
                exchange(connected.channel(), address, request, response, timeoutMillis, permitted);
            } else {
                request.release();
                response.completeExceptionally(failure(ErrorCode.CONNECTION_FAILED, address));
            }
        });
    }

    private ChannelFuture connect(InetSocketAddress address) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new ConnectionEndGuard())
                                .addLast(guard(channel))
                                .addLast(new ResponseCodec())
                                .addLast(new HttpObjectAggregator(maximumResponseBytes));
                    }
                })
                .connect(address);
    }

    /** Sends a request on a connection. Must be called on its event loop. */
    private void exchange(
            Channel channel,
            InetSocketAddress address,
            DefaultFullHttpRequest request,
            CompletableFuture<BufferedHttpResponse> response,
            long timeoutMillis,
            BooleanSupplier permitted) {
        if (response.isCancelled() || !permitted.getAsBoolean()) {
            request.release();
            channel.close();
            response.completeExceptionally(failure(ErrorCode.NOT_PERMITTED, address));
            return;
        }
        IdleGuard.requestStarted(channel);
        channel.pipeline().addLast(new ResponseHandler(address, response));
        var timer = channel.eventLoop()
                .schedule(() -> fail(channel, address, response), timeoutMillis, TimeUnit.MILLISECONDS);
        response.whenComplete((result, error) -> {
            timer.cancel(false);
            if (response.isCancelled()) {
                channel.close();
            }
        });
        channel.writeAndFlush(request);
    }

    private void fail(Channel channel, InetSocketAddress address, CompletableFuture<BufferedHttpResponse> response) {
        channel.close();
        closeIdleConnections(address);
        response.completeExceptionally(failure(ErrorCode.CONNECTION_SILENT, address));
    }

    private Channel takeIdleConnection(InetSocketAddress address) {
        Deque<Channel> channels = idleConnections.get(address);
        if (channels == null) {
            return null;
        }
        synchronized (channels) {
            Channel channel = channels.pollLast();
            while (channel != null && !channel.isActive()) {
                channel = channels.pollLast();
            }
            return channel;
        }
    }

    private void returnToPool(InetSocketAddress address, Channel channel) {
        if (!IdleGuard.responseEnded(channel)) {
            return;
        }
        Deque<Channel> channels = idleConnections.computeIfAbsent(address, key -> new ArrayDeque<>());
        synchronized (channels) {
            if (channels.size() < maximumIdleConnections) {
                channels.addLast(channel);
                return;
            }
        }
        channel.close();
    }

    private static IdleGuard guard(Channel channel) {
        return new IdleGuard(
                first -> Logger.warn("event=unexpected_bytes address={} first=\"{}\"", channel.remoteAddress(), first));
    }

    private static JackdawbeamException failure(ErrorCode code, InetSocketAddress address) {
        return new JackdawbeamException(code, "no answer from " + address);
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress address;
        private final CompletableFuture<BufferedHttpResponse> future;

        ResponseHandler(InetSocketAddress address, CompletableFuture<BufferedHttpResponse> future) {
            this.address = address;
            this.future = future;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            boolean complete = response.decoderResult().isSuccess();
            String contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
            Map<String, String> headers = new HashMap<>();
            response.headers()
                    .forEach(header -> headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
            BufferedHttpResponse result = new BufferedHttpResponse(
                    response.status().code(),
                    contentType,
                    Map.copyOf(headers),
                    ByteBufUtil.getBytes(response.content()));
            boolean reusable = complete && HttpUtil.isKeepAlive(response);
            if (reusable) {
                context.pipeline().remove(this);
                returnToPool(address, context.channel());
            } else {
                context.close();
            }
            if (complete) {
                future.complete(result);
            } else {
                future.completeExceptionally(failure(ErrorCode.MESSAGE_MALFORMED, address));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            future.completeExceptionally(failure(ErrorCode.CONNECTION_FAILED, address));
            context.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            boolean connectionLost = cause instanceof IOException || cause instanceof PrematureChannelClosureException;
            ErrorCode code = connectionLost ? ErrorCode.CONNECTION_FAILED : ErrorCode.MESSAGE_MALFORMED;
            future.completeExceptionally(failure(code, address));
            context.close();
        }
    }
}
