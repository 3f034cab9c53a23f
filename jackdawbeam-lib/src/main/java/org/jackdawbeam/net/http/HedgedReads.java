package org.jackdawbeam.net.http;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * GET requests to one server that are sent a second time, on a new connection, if their response is overdue. A
 * connection may go silent without a reset while the server responds on others. A server whose latest read failed gets
 * no second request.
 */
public final class HedgedReads {
    private static final byte[] NO_BODY = new byte[0];

    private final EventLoopGroup group;
    private final BufferedHttpClient client;
    private final InetSocketAddress address;
    private final long overdueMillis;
    private final AtomicLong silentConnections = new AtomicLong();
    private volatile boolean responsive = true;

    /**
     * Creates reads of a server.
     *
     * @param overdueMillis delay beyond the expected time of a response after which the request is sent again
     */
    public HedgedReads(EventLoopGroup group, BufferedHttpClient client, InetSocketAddress address, long overdueMillis) {
        this.group = group;
        this.client = client;
        this.address = address;
        this.overdueMillis = overdueMillis;
    }

    /**
     * Sends a request. The future fails like that of {@link BufferedHttpClient#send} if there is no response.
     *
     * @param uri path and query of the first request
     * @param hedgeUri path and query of the second request, to which the server responds at once
     * @param waitMillis time for which the server may hold the first request back
     * @param timeoutMillis time after which both requests are given up
     */
    public CompletableFuture<BufferedHttpResponse> get(
            String uri, String hedgeUri, long waitMillis, long timeoutMillis) {
        CompletableFuture<BufferedHttpResponse> result = new CompletableFuture<>();
        CompletableFuture<BufferedHttpResponse> first =
                client.send(address, "GET", uri, Map.of(), NO_BODY, timeoutMillis);
        long hedgeAfterMillis = waitMillis + overdueMillis;
        Future<?> hedge = group.schedule(
                () -> hedge(first, hedgeUri, timeoutMillis - hedgeAfterMillis, result),
                hedgeAfterMillis,
                TimeUnit.MILLISECONDS);
        first.whenComplete((response, failure) -> complete(result, response, failure));
        return result.whenComplete((response, failure) -> {
            hedge.cancel(false);
            responsive = failure == null;
        });
    }

    /** Returns how often the server has responded on a new connection while an open one was silent. */
    public long silentConnections() {
        return silentConnections.get();
    }

    private void hedge(
            CompletableFuture<BufferedHttpResponse> first,
            String uri,
            long timeoutMillis,
            CompletableFuture<BufferedHttpResponse> result) {
        if (first.isDone() || !responsive) {
            return;
        }
        CompletableFuture<BufferedHttpResponse> second = client.sendOnNewConnection(address, "GET", uri, timeoutMillis);
        result.whenComplete((response, failure) -> second.cancel(false));
        second.thenAccept(response -> {
            if (!first.isDone()) {
                Logger.warn("event=connection_silent address={}", address);
                silentConnections.incrementAndGet();
                client.closeIdleConnections(address);
                result.complete(response);
                first.cancel(false);
            }
        });
    }

    private static void complete(
            CompletableFuture<BufferedHttpResponse> result, BufferedHttpResponse response, Throwable failure) {
        if (failure == null) {
            result.complete(response);
        } else {
            result.completeExceptionally(failure);
        }
    }
}
