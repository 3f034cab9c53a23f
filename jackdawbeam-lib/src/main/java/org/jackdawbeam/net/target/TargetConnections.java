package org.jackdawbeam.net.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.AttributeKey;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jackdawbeam.model.time.MonotonicClock;
import org.jackdawbeam.net.http.ConnectionEndGuard;
import org.jackdawbeam.net.http.IdleGuard;
import org.jackdawbeam.net.http.ResponseCodec;
import org.tinylog.Logger;

/**
 * Connection pool for targets. A connection is reused only after a complete response and only for a short time, because
 * a device on the path, such as a NAT gateway, may have dropped the state of a connection that was idle for longer.
 */
public final class TargetConnections {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAXIMUM_IDLE_PER_TARGET = 64;
    private static final long IDLE_MILLIS = 3_000;

    private static final AttributeKey<CarriedRequests> CARRIED =
            AttributeKey.valueOf(TargetConnections.class, "carried");

    private final EventLoopGroup group;
    private final MonotonicClock clock;
    private final AtomicLong lastNumber = new AtomicLong();
    private final AtomicInteger open = new AtomicInteger();
    private final Map<InetSocketAddress, Deque<IdleChannel>> idle = new ConcurrentHashMap<>();

    private record IdleChannel(Channel channel, long reusableUntilMillis) {}

    public TargetConnections(EventLoopGroup group, MonotonicClock clock) {
        this.group = group;
        this.clock = clock;
    }

    /** Returns the number of open connections. */
    public int openCount() {
        return open.get();
    }

    /** Passes a connection that has not carried the id to the receiver, or nothing if none can be opened. */
    public void acquire(InetSocketAddress address, String requestId, Consumer<Optional<Channel>> receiver) {
        Optional<Channel> pooled = takeIdle(address, requestId);
        if (pooled.isPresent()) {
            receiver.accept(pooled);
            return;
        }
        acquireNew(address, receiver);
    }

    /** Passes a new connection to the receiver, or nothing if none can be opened. */
    public void acquireNew(InetSocketAddress address, Consumer<Optional<Channel>> receiver) {
        connect(address).addListener(done -> {
            ChannelFuture connected = (ChannelFuture) done;
            receiver.accept(connected.isSuccess() ? Optional.of(connected.channel()) : Optional.empty());
        });
    }

    /**
     * Prepares a connection for a request that is sent next. Until then, the connection is closed if it receives
     * anything.
     *
     * @param requestId id that the response is expected to name
     */
    public static void startRequest(Channel channel, String requestId) {
        IdleGuard.requestStarted(channel);
        AnswerHeadLimit.reset(channel);
        carried(channel).add(requestId);
    }

    /** Returns a connection to the pool after a complete response. */
    public void release(InetSocketAddress address, Channel channel) {
        release(address, channel, IDLE_MILLIS);
    }

    /**
     * Returns a connection to the pool after a complete response.
     *
     * @param idleMillis time for which the connection may be reused; it is closed if the time is not positive
     */
    public void release(InetSocketAddress address, Channel channel, long idleMillis) {
        if (!IdleGuard.responseEnded(channel)) {
            return;
        }
        if (idleMillis <= 0 || carried(channel).isFull()) {
            channel.close();
            return;
        }
        Deque<IdleChannel> channels = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
        synchronized (channels) {
            if (channels.size() < MAXIMUM_IDLE_PER_TARGET) {
                channels.addLast(new IdleChannel(channel, clock.nowMillis() + idleMillis));
                return;
            }
        }
        channel.close();
    }

    /** Returns whether a connection has carried a request before the present one. */
    public static boolean isReused(Channel channel) {
        return carried(channel).isRepeated();
    }

    /** Returns the number of a connection, which is unique in this process. */
    public static long connectionNumber(Channel channel) {
        return carried(channel).connectionNumber();
    }

    /** Returns how many requests a connection has carried, the present one included. */
    public static int requestCount(Channel channel) {
        return carried(channel).count();
    }

    /** Returns whether a connection has carried a request with the id, the present one included; rarely wrong. */
    public static boolean mayHaveCarried(Channel channel, String requestId) {
        return carried(channel).mayContain(requestId);
    }

    private static CarriedRequests carried(Channel channel) {
        return channel.attr(CARRIED).get();
    }

    private Optional<Channel> takeIdle(InetSocketAddress address, String requestId) {
        Deque<IdleChannel> channels = idle.get(address);
        if (channels == null) {
            return Optional.empty();
        }
        synchronized (channels) {
            Iterator<IdleChannel> latestFirst = channels.descendingIterator();
            while (latestFirst.hasNext()) {
                IdleChannel candidate = latestFirst.next();
                boolean usable = candidate.channel().isActive() && clock.nowMillis() <= candidate.reusableUntilMillis();
                if (usable && carried(candidate.channel()).mayContain(requestId)) {
                    continue;
                }
                latestFirst.remove();
                if (usable) {
                    return Optional.of(candidate.channel());
                }
                candidate.channel().close();
            }
        }
        return Optional.empty();
    }

    /** Closes the idle connections to a target that has been removed. */
    public void closeIdle(InetSocketAddress address) {
        Deque<IdleChannel> channels = idle.remove(address);
        if (channels != null) {
            channels.forEach(candidate -> candidate.channel().close());
        }
    }

    private static IdleGuard guard(Channel channel) {
        return new IdleGuard(first -> logUnexpected(channel, first));
    }

    private static void logUnexpected(Channel channel, String first) {
        Logger.warn(
                "event=unexpected_bytes connection={} requests={} address={} first=\"{}\"",
                connectionNumber(channel),
                requestCount(channel),
                channel.remoteAddress(),
                first);
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
                        open.incrementAndGet();
                        channel.closeFuture().addListener(closed -> open.decrementAndGet());
                        channel.attr(CARRIED).set(new CarriedRequests(lastNumber.incrementAndGet()));
                        channel.pipeline()
                                .addLast(new ConnectionEndGuard(), guard(channel))
                                .addLast(new AnswerHeadLimit(), new ResponseCodec());
                    }
                })
                .connect(address);
    }
}
