package org.jackdawbeam.net.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.jackdawbeam.model.time.MonotonicClock;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.target.TargetAddress;

/**
 * Sends messages to other entries over one connection per peer. Messages that cannot be sent are dropped. If a peer
 * sends nothing for a while, its connection is closed and a new one is opened, because a device on the path may have
 * lost the connection state.
 *
 * @param <M> type of the messages
 */
public final class PeerConnections<M> implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long RESPONSE_TIMEOUT_MILLIS = 2_000;

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
            closeIfUnresponsive(connection);
            boolean open = connection.channel != null && connection.channel.isActive();
            if (open) {
                write(connection.channel, message);
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

    private void closeIfUnresponsive(PeerConnection connection) {
        boolean unresponsive = connection.channel != null
                && clock.nowMillis() - connection.lastReceivedMillis > RESPONSE_TIMEOUT_MILLIS;
        if (unresponsive) {
            connection.channel.close();
            connection.channel = null;
        }
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
                connection.channel = future.channel();
                connection.lastReceivedMillis = clock.nowMillis();
                write(connection.channel, firstMessage);
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

    private void write(Channel channel, M message) {
        if (!channel.isWritable()) {
            return;
        }
        byte[] bytes = encode(message);
        bytesSent.add(bytes.length);
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }
}
