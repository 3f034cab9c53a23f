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
 * Sends messages to other entries, over one connection for each. Messages that cannot be sent are dropped. A connection
 * over which nothing is answered for a while is closed and a new one is opened, because something on the way may have
 * lost track of it.
 *
 * @param <M> type of the messages
 */
public final class PeerConnections<M> implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long SILENCE_MILLIS = 2_000;

    private final EventLoopGroup group;
    private final MessageMapper mapper;
    private final MonotonicClock clock;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final LongAdder bytesSent = new LongAdder();

    private volatile Encoded latestEncoded;

    private record Encoded(Object message, byte[] bytes) {}

    private static final class Link {
        private Channel channel;
        private boolean connecting;
        private long heardAtMillis;
    }

    public PeerConnections(EventLoopGroup group, MessageMapper mapper, MonotonicClock clock) {
        this.group = group;
        this.mapper = mapper;
        this.clock = clock;
    }

    /** Sends a message if a connection is open, and opens one otherwise. */
    public void send(String address, M message) {
        Link link = links.computeIfAbsent(address, key -> new Link());
        synchronized (link) {
            closeIfSilent(link);
            boolean open = link.channel != null && link.channel.isActive();
            if (open) {
                write(link.channel, message);
            } else if (!link.connecting) {
                connect(address, link, message);
            }
        }
    }

    /** Records that something came from the peer at the address. */
    public void heardFrom(String address) {
        Link link = links.get(address);
        if (link != null) {
            synchronized (link) {
                link.heardAtMillis = clock.nowMillis();
            }
        }
    }

    /** Returns the bytes sent so far, without headers of lower layers. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    @Override
    public void close() {
        links.values().forEach(link -> {
            synchronized (link) {
                if (link.channel != null) {
                    link.channel.close();
                }
            }
        });
    }

    private void closeIfSilent(Link link) {
        boolean silent = link.channel != null && clock.nowMillis() - link.heardAtMillis > SILENCE_MILLIS;
        if (silent) {
            link.channel.close();
            link.channel = null;
        }
    }

    private void connect(String address, Link link, M first) {
        link.connecting = true;
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
                .addListener(done -> connected(link, (ChannelFuture) done, first));
    }

    private void connected(Link link, ChannelFuture future, M first) {
        synchronized (link) {
            link.connecting = false;
            if (future.isSuccess()) {
                link.channel = future.channel();
                link.heardAtMillis = clock.nowMillis();
                write(link.channel, first);
            }
        }
    }

    /** Encodes a message once for all peers that it is sent to in a row. */
    private byte[] encoded(M message) {
        Encoded latest = latestEncoded;
        if (latest == null || latest.message() != message) {
            latest = new Encoded(message, mapper.write(message));
            latestEncoded = latest;
        }
        return latest.bytes();
    }

    private void write(Channel channel, M message) {
        if (!channel.isWritable()) {
            return;
        }
        byte[] bytes = encoded(message);
        bytesSent.add(bytes.length);
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }
}
