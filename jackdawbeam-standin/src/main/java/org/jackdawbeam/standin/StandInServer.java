package org.jackdawbeam.standin;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jackdawbeam.net.http.HttpExchangeHandler;
import org.jackdawbeam.net.http.HttpLimits;
import org.jackdawbeam.net.http.HttpServer;

/** HTTP server of a stand-in, with its event loops. */
public final class StandInServer implements AutoCloseable {
    private static final HttpLimits LIMITS = new HttpLimits(16_384, 65_536, 16 * 1_048_576, 30_000, 600_000);

    private final MultiThreadIoEventLoopGroup group;
    private final HttpServer server;

    public StandInServer(InetSocketAddress address, int threads, HttpExchangeHandler handler) {
        this.group = new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory("stand-in", true), NioIoHandler.newFactory());
        this.server = HttpServer.start(group, address, LIMITS, handler);
    }

    /** Returns the event loops, for calls to other stand-ins and for timers. */
    public MultiThreadIoEventLoopGroup group() {
        return group;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.port();
    }

    /** Blocks until the JVM shuts down. */
    public static void awaitStop() throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(stopped::countDown));
        stopped.await();
    }

    @Override
    public void close() {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }
}
