package org.jackdawbeam.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jackdawbeam.standin.fleet.TargetLedger;

/**
 * TCP proxy for an address on this host, which can delay, hold, refuse or reset connections. Held bytes stay in order
 * and arrive after the hold, as after a network partition.
 */
public final class FaultProxy implements AutoCloseable {
    private static final long POLL_MILLIS = 20;

    private final EventLoopGroup group;
    private final Supplier<InetSocketAddress> destination;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel server;
    private final Optional<TargetLedger> ledger;
    private volatile long delayMillis;
    private volatile boolean holdingRequests;
    private volatile boolean holdingAnswers;
    private volatile boolean refusing;
    private volatile Optional<RandomGenerator> secondAnswers = Optional.empty();

    /** Listens on a free port; the destination is looked up for each connection. */
    public FaultProxy(EventLoopGroup group, Supplier<InetSocketAddress> destination) {
        this(group, destination, Optional.empty());
    }

    /**
     * Listens on a free port; the destination is looked up for each connection.
     *
     * @param ledger of the target that is the destination; records what the target answers first
     */
    FaultProxy(EventLoopGroup group, Supplier<InetSocketAddress> destination, Optional<TargetLedger> ledger) {
        this.group = group;
        this.ledger = ledger;
        this.destination = destination;
        this.server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel caller) {
                        accept(caller);
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the address that the proxy listens on. */
    public String address() {
        return "127.0.0.1:" + port();
    }

    /** Returns the port that the proxy listens on. */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Delays the bytes of both directions; zero removes the delay. */
    public void delay(long millis) {
        delayMillis = millis;
    }

    /** Sets for each direction whether its bytes are held back. */
    public void hold(boolean requests, boolean answers) {
        holdingRequests = requests;
        holdingAnswers = answers;
    }

    /** Resets open connections and, while enabled, each new one. */
    public void refuse(boolean on) {
        refusing = on;
        if (on) {
            reset();
        }
    }

    /** Lets the target send answers a second time as the generator draws; empty ends that for new answers. */
    public void answerTwice(Optional<RandomGenerator> random) {
        secondAnswers = random;
    }

    /** Resets all connections. */
    public void reset() {
        channels.forEach(FaultProxy::resetConnection);
    }

    @Override
    public void close() {
        server.close();
        channels.close();
    }

    private static void resetConnection(Channel channel) {
        channel.eventLoop().execute(() -> {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        });
    }

    private void accept(Channel caller) {
        if (refusing) {
            resetConnection(caller);
            return;
        }
        channels.add(caller);
        Bootstrap bootstrap = new Bootstrap()
                .group(caller.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new Relay(caller, false));
        bootstrap.connect(destination.get()).addListener((ChannelFutureListener) connected -> {
            if (!connected.isSuccess()) {
                resetConnection(caller);
                return;
            }
            channels.add(connected.channel());
            caller.pipeline().addLast(new Relay(connected.channel(), true));
            caller.read();
        });
    }

    /** Forwards the bytes of one direction of a connection to its other channel. */
    private final class Relay extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final boolean carriesRequests;
        private final Optional<SecondAnswers> answers;

        Relay(Channel other, boolean carriesRequests) {
            this.other = other;
            this.carriesRequests = carriesRequests;
            this.answers = carriesRequests
                    ? Optional.empty()
                    : ledger.map(known -> new SecondAnswers(other, known, () -> secondAnswers));
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.read();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (delayMillis > 0) {
                context.executor().schedule(() -> forward(context, message), delayMillis, TimeUnit.MILLISECONDS);
            } else {
                forward(context, message);
            }
        }

        /** Forwards a message. The next read is issued only after the write, so that later bytes cannot overtake it. */
        private void forward(ChannelHandlerContext context, Object message) {
            boolean held = carriesRequests ? holdingRequests : holdingAnswers;
            if (held && other.isActive()) {
                context.executor().schedule(() -> forward(context, message), POLL_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            if (!other.isActive()) {
                ReferenceCountUtil.release(message);
                return;
            }
            ByteBuf bytes = (ByteBuf) message;
            other.writeAndFlush(answers.map(all -> all.pass(bytes)).orElse(bytes))
                    .addListener(written -> {
                        if (written.isSuccess()) {
                            context.read();
                        }
                    });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (carriesRequests ? holdingRequests : holdingAnswers) {
                context.executor().schedule(() -> channelInactive(context), POLL_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            other.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            resetConnection(context.channel());
            resetConnection(other);
        }
    }
}
