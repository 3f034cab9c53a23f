package org.jackdawbeam.net.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jackdawbeam.logic.budget.Holding;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.time.MonotonicClock;
import org.jackdawbeam.net.budget.ConnectionBudget;
import org.jackdawbeam.net.budget.HeldAccount;
import org.jackdawbeam.net.codec.MessageMapper;
import org.tinylog.Logger;

/**
 * Receives messages from other entries. A frame with an invalid length closes its connection; a message that cannot be
 * decoded, such as one of a kind that only newer builds know, is skipped. Messages are acknowledged at intervals by an
 * empty frame, so that the sender notices a connection that has gone silent.
 */
public final class PeerServer implements AutoCloseable {
    private static final long READ_TIMEOUT_MILLIS = 30_000;
    /** Shorter than the time after which senders expect to be acknowledged at once. */
    private static final long ACKNOWLEDGEMENT_INTERVAL_MILLIS = 900;

    private final Channel channel;

    private PeerServer(Channel channel) {
        this.channel = channel;
    }

    /**
     * Starts a server.
     *
     * @throws JackdawbeamException with {@link ErrorCode#CONNECTION_FAILED} if the address cannot be bound
     */
    public static <M> PeerServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            MessageMapper mapper,
            Class<M> messageType,
            MonotonicClock clock,
            Consumer<M> receiver) {
        return start(group, address, mapper, messageType, ConnectionBudget.unlimited(), clock, receiver);
    }

    /**
     * Starts a server whose connections share a budget with others.
     *
     * @throws JackdawbeamException with {@link ErrorCode#CONNECTION_FAILED} if the address cannot be bound
     */
    public static <M> PeerServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            MessageMapper mapper,
            Class<M> messageType,
            ConnectionBudget budget,
            MonotonicClock clock,
            Consumer<M> receiver) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.pipeline().addLast(new ReadTimeoutHandler(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
                        HeldAccount account =
                                budget.open(phase -> child.eventLoop().execute(child::close));
                        child.pipeline().addLast(new FrameAccount(account));
                        PeerFrames.addTo(child.pipeline());
                        child.pipeline().addLast(new Receiver<>(mapper, messageType, account, clock, receiver));
                    }
                });
        try {
            return new PeerServer(bootstrap.bind(address).syncUninterruptibly().channel());
        } catch (RuntimeException e) {
            throw new JackdawbeamException(ErrorCode.CONNECTION_FAILED, "cannot listen on " + address, e);
        }
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }

    private static final class Receiver<M> extends SimpleChannelInboundHandler<ByteBuf> {
        private final MessageMapper mapper;
        private final Class<M> messageType;
        private final HeldAccount account;
        private final MonotonicClock clock;
        private final Consumer<M> consumer;
        private long acknowledgedAtMillis = Long.MIN_VALUE / 2;
        private long skipped;

        Receiver(
                MessageMapper mapper,
                Class<M> messageType,
                HeldAccount account,
                MonotonicClock clock,
                Consumer<M> consumer) {
            this.mapper = mapper;
            this.messageType = messageType;
            this.account = account;
            this.clock = clock;
            this.consumer = consumer;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            account.release(account.endRequest());
            account.begin(Holding.Phase.IDLE);
            byte[] bytes = ByteBufUtil.getBytes(frame);
            M message;
            try {
                message = mapper.read(bytes, messageType);
            } catch (JackdawbeamException e) {
                skip(context, bytes.length, e);
                return;
            }
            acknowledge(context);
            account.begin(Holding.Phase.ANSWERING); // an entry is not closed for being idle
            consumer.accept(message);
        }

        private void acknowledge(ChannelHandlerContext context) {
            long nowMillis = clock.nowMillis();
            if (nowMillis - acknowledgedAtMillis >= ACKNOWLEDGEMENT_INTERVAL_MILLIS
                    && context.channel().isWritable()) {
                acknowledgedAtMillis = nowMillis;
                context.writeAndFlush(Unpooled.EMPTY_BUFFER);
            }
        }

        /** Logs the first skipped message of a connection; the line at its end tells how many there were. */
        private void skip(ChannelHandlerContext context, int length, JackdawbeamException failure) {
            skipped++;
            if (skipped == 1) {
                Logger.warn(
                        "event=peer_message_skipped peer={} bytes={} reason=\"{}\"",
                        context.channel().remoteAddress(),
                        length,
                        failure.getMessage());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (skipped > 1) {
                Logger.warn(
                        "event=peer_messages_skipped peer={} count={}",
                        context.channel().remoteAddress(),
                        skipped);
            }
            context.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
