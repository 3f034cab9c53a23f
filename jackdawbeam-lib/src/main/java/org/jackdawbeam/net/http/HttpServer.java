package org.jackdawbeam.net.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;

/** An HTTP/1.1 server that listens on one address. */
public final class HttpServer implements AutoCloseable {
    private static final int BACKLOG = 1_024;

    private final Channel channel;

    private HttpServer(Channel channel) {
        this.channel = channel;
    }

    /**
     * Starts a server.
     *
     * @throws JackdawbeamException with {@link ErrorCode#CONNECTION_FAILED} if the address cannot be bound
     */
    public static HttpServer start(
            EventLoopGroup group, InetSocketAddress address, HttpLimits limits, HttpExchangeHandler handler) {
        return start(group, address, () -> limits, handler);
    }

    /**
     * Starts a server whose limits may change. Each connection keeps the limits that applied when it was opened.
     *
     * @throws JackdawbeamException with {@link ErrorCode#CONNECTION_FAILED} if the address cannot be bound
     */
    public static HttpServer start(
            EventLoopGroup group, InetSocketAddress address, Supplier<HttpLimits> limits, HttpExchangeHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        initialize(child, limits.get(), handler);
                    }
                });
        try {
            return new HttpServer(bootstrap.bind(address).syncUninterruptibly().channel());
        } catch (RuntimeException e) {
            throw new JackdawbeamException(ErrorCode.CONNECTION_FAILED, "cannot listen on " + address, e);
        }
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops accepting connections without waiting; open connections stay open. */
    public void stop() {
        channel.close();
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }

    private static void initialize(SocketChannel child, HttpLimits limits, HttpExchangeHandler handler) {
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maximumLineBytes())
                .setMaxHeaderSize(limits.maximumHeaderBytes());
        ReceiveDeadline deadline = new ReceiveDeadline(limits.receiveMillis());
        child.pipeline()
                .addLast(new IdleStateHandler(0, 0, limits.idleMillis(), TimeUnit.MILLISECONDS))
                .addLast(deadline)
                .addLast(new HttpServerCodec(config))
                .addLast(new BoundedAggregator(limits.maximumBodyBytes()))
                .addLast(new ServerConnection(handler, deadline));
    }
}
