package org.jackdawbeam.net.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
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
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.jackdawbeam.model.time.MonotonicClock;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.target.TargetAddress;

/**
 * Sends messages to other entries over one connection per peer. Messages that cannot be sent are dropped. A connection
 * on which messages are not acknowledged is closed and a new one is opened, because a device on the path may have lost
 * the connection state. A peer of a build that acknowledges nothing must send messages of its own instead.
 *
 * @param <M> type of the messages
 */
public final class PeerConnections<M> implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long RESPONSE_TIMEOUT_MILLIS = 2_000;
    /** Time since the latest acknowledgement after which a peer acknowledges the next message at once. */
    private static final long ACKNOWLEDGED_AT_ONCE_MILLIS = 1_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final EventLoopGroup group;
    private final MessageMapper mapper;
    private final MonotonicClock clock;
    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
    private final LongAdder bytesSent = new LongAdder();

    private volatile EncodedMessage latestEncoded;

    private record EncodedMessage(Object message, byte[] bytes) {}

    private static final class PeerConnection {
        private Channel channel;
        private boolean connecting;
        private long lastReceivedMillis;
        private boolean acknowledges;
        private long acknowledgedAtMillis = NEVER;
        private OptionalLong unacknowledgedSinceMillis = OptionalLong.empty();

        void opened(Channel opened, long nowMillis) {
            channel = opened;
            lastReceivedMillis = nowMillis;
            acknowledgedAtMillis = NEVER;
            unacknowledgedSinceMillis = OptionalLong.empty();
        }

        void sent(long nowMillis) {
            boolean acknowledgedAtOnce = nowMillis - acknowledgedAtMillis >= ACKNOWLEDGED_AT_ONCE_MILLIS;
            if (unacknowledgedSinceMillis.isEmpty() && acknowledgedAtOnce) {
                unacknowledgedSinceMillis = OptionalLong.of(nowMillis);
            }
        }

        void acknowledged(long nowMillis) {
            acknowledges = true;
            acknowledgedAtMillis = nowMillis;
            unacknowledgedSinceMillis = OptionalLong.empty();
        }

        boolean isUnresponsive(long nowMillis) {
            long waitingSince = acknowledges ? unacknowledgedSinceMillis.orElse(nowMillis) : lastReceivedMillis;
            return channel != null && nowMillis - waitingSince > RESPONSE_TIMEOUT_MILLIS;
        }

        /** Closes the channel. A peer that acknowledged nothing on it may run an older build since its restart. */
        void close() {
            channel.close();
            channel = null;
            acknowledges &= acknowledgedAtMillis != NEVER;
        }
    }

    public PeerConnections(EventLoopGroup group, MessageMapper mapper, MonotonicClock clock) {
        this.group = group;
        this.mapper = mapper;
        this.clock = clock;
    }

    /**
     * Sends a message. Without an open connection it opens one and sends the message once the connection is
     * established; messages that follow until then are dropped.
     */
    public void send(String address, M message) {
        PeerConnection connection = connections.computeIfAbsent(address, key -> new PeerConnection());
        synchronized (connection) {
            if (connection.isUnresponsive(clock.nowMillis())) {
                connection.close();
            }
            boolean open = connection.channel != null && connection.channel.isActive();
            if (open) {
                write(connection, message);
            } else if (!connection.connecting) {
                connect(address, connection, message);
            }
        }
    }

    /** Records that a message was received from the peer at the address, so that its connection is kept. */
    public void messageReceived(String address) {
        PeerConnection connection = connections.get(address);
        if (connection != null) {
            synchronized (connection) {
                connection.lastReceivedMillis = clock.nowMillis();
            }
        }
    }

    /** Returns the number of message bytes sent so far, without length prefixes and headers of lower layers. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    @Override
    public void close() {
        connections.values().forEach(connection -> {
            synchronized (connection) {
                if (connection.channel != null) {
                    connection.channel.close();
                }
            }
        });
    }

    private void connect(String address, PeerConnection connection, M firstMessage) {
        connection.connecting = true;
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        PeerFrames.addTo(channel.pipeline());
                        channel.pipeline().addLast(new AcknowledgementHandler(connection));
                    }
                });
        bootstrap
                .connect(TargetAddress.parse(address))
                .addListener(done -> connected(connection, (ChannelFuture) done, firstMessage));
    }

    private void connected(PeerConnection connection, ChannelFuture future, M firstMessage) {
        synchronized (connection) {
            connection.connecting = false;
            if (future.isSuccess()) {
                connection.opened(future.channel(), clock.nowMillis());
                write(connection, firstMessage);
            }
        }
    }

    /** Encodes a message, or reuses the encoding if the same message was encoded last, as when it goes to all peers. */
    private byte[] encode(M message) {
        EncodedMessage latest = latestEncoded;
        if (latest == null || latest.message() != message) {
            latest = new EncodedMessage(message, mapper.write(message));
            latestEncoded = latest;
        }
        return latest.bytes();
    }

    private void write(PeerConnection connection, M message) {
        connection.sent(clock.nowMillis());
        if (!connection.channel.isWritable()) {
            return;
        }
        byte[] bytes = encode(message);
        bytesSent.add(bytes.length);
        connection.channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    private final class AcknowledgementHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final PeerConnection connection;

        AcknowledgementHandler(PeerConnection connection) {
            this.connection = connection;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            synchronized (connection) {
                if (context.channel().equals(connection.channel)) {
                    connection.acknowledged(clock.nowMillis());
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
