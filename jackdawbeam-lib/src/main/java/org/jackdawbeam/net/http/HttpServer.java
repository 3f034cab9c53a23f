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
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.jackdawbeam.logic.budget.Holding;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.net.budget.ConnectionBudget;
import org.jackdawbeam.net.budget.HeldAccount;

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
        return start(group, address, limits, ConnectionBudget.unlimited(), handler);
    }

    /**
     * Starts a server whose connections share a budget with others.
     *
     * @throws JackdawbeamException with {@link ErrorCode#CONNECTION_FAILED} if the address cannot be bound
     */
    public static HttpServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<HttpLimits> limits,
            ConnectionBudget budget,
            HttpExchangeHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        initialize(child, limits.get(), budget, handler);
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

    private static void initialize(
            SocketChannel child, HttpLimits limits, ConnectionBudget budget, HttpExchangeHandler handler) {
        HeldAccount account = budget.open(phase -> child.eventLoop().execute(() -> evict(child, phase)));
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maximumLineBytes())
                .setMaxHeaderSize(limits.maximumHeaderBytes())
                .setHeadersFactory(CountedHeaders.factory(account))
                .setTrailersFactory(CountedHeaders.ignored());
        ReceiveDeadline deadline = new ReceiveDeadline(limits.receiveMillis());
        RequestAssembler assembler = new RequestAssembler(limits.maximumBodyBytes(), account);
        AtomicReference<Runnable> resume = new AtomicReference<>();
        ServerConnection connection = new ServerConnection(
                handler, deadline, account, () -> resume.get().run());
        RequestGate gate = new RequestGate(account, assembler, connection::isAccepting);
        resume.set(gate::resume);
        child.pipeline()
                .addLast(new IdleStateHandler(0, 0, limits.idleMillis(), TimeUnit.MILLISECONDS))
                .addLast(gate)
                .addLast(deadline)
                .addLast(new HttpServerCodec(config))
                .addLast(assembler)
                .addLast(connection);
    }

    /** A client whose request is not complete is told that it has not run. */
    private static void evict(SocketChannel child, Holding.Phase phase) {
        if (phase == Holding.Phase.RECEIVING) {
            child.pipeline().fireUserEventTriggered(HttpRequestError.OVERLOADED);
        } else {
            child.close();
        }
    }
}
