package org.jackdawbeam.standin.load;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jackdawbeam.net.target.TargetAddress;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Load generator: open-loop with seeded Poisson arrivals, or closed-loop with a fixed number of requests in flight. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Sends load to entries, or directly to a target, and prints latency percentiles.",
        footer = {
            "",
            "Examples:",
            "  jackdawbeam-standin load --address 127.0.0.1:17031 --key portal:jdb_... --rate 200 --seconds 10",
            "  jackdawbeam-standin load --address 127.0.0.1:17031 --key portal:jdb_... --concurrency 64 --stream"
        })
public final class LoadCommand implements Callable<Integer> {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long DRAIN_SECONDS = 30;

    @Option(names = "--address", split = ",", required = true, description = "IP:port of entries or a target.")
    private List<String> addresses;

    @Option(names = "--key", split = ",", description = "NAME:KEY of workspaces, chosen at random for each request.")
    private List<String> keys = List.of();

    @Option(names = "--rate", defaultValue = "0", description = "Requests per second; zero for a closed loop.")
    private double rate;

    @Option(names = "--concurrency", defaultValue = "1", description = "Requests in flight in a closed loop.")
    private int concurrency;

    @Option(names = "--seconds", defaultValue = "10", description = "Duration of the load (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--path", defaultValue = "/v1/completions", description = "Path (${DEFAULT-VALUE}).")
    private String path;

    @Option(names = "--model", defaultValue = "invoices", description = "Model (${DEFAULT-VALUE}).")
    private String model;

    @Option(names = "--tokens", defaultValue = "32", description = "Tokens to generate (${DEFAULT-VALUE}).")
    private int tokens;

    @Option(names = "--prompt-bytes", defaultValue = "256", description = "Length of prompts (${DEFAULT-VALUE}).")
    private int promptBytes;

    @Option(names = "--stream", description = "Request streamed responses.")
    private boolean stream;

    @Option(names = "--idempotent", description = "Send a new Idempotency-Key with each request.")
    private boolean idempotent;

    @Option(names = "--seed", defaultValue = "1", description = "Random seed of the schedule (${DEFAULT-VALUE}).")
    private long seed;

    private final LoadReport report = new LoadReport();
    private final AtomicLong nextKey = new AtomicLong();

    @Override
    public Integer call() throws InterruptedException {
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(2, new DefaultThreadFactory("load", true), NioIoHandler.newFactory());
        LoadClient client = new LoadClient(group);
        long startedAtNanos = System.nanoTime();
        if (rate > 0) {
            sendByRate(client, startedAtNanos);
        } else {
            sendByConcurrency(client, startedAtNanos);
        }
        report.print(path, System.nanoTime() - startedAtNanos);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        return 0;
    }

    private void sendByRate(LoadClient client, long startedAtNanos) throws InterruptedException {
        Random random = new Random(seed);
        Semaphore permits = new Semaphore(Integer.MAX_VALUE);
        double atNanos = startedAtNanos;
        while (atNanos - startedAtNanos < seconds * NANOS_PER_SECOND) {
            sleepUntil((long) atNanos);
            permits.acquire();
            send(client, random, permits::release);
            atNanos += -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / rate;
        }
        permits.tryAcquire(Integer.MAX_VALUE, DRAIN_SECONDS, TimeUnit.SECONDS);
    }

    private void sendByConcurrency(LoadClient client, long startedAtNanos) throws InterruptedException {
        Random random = new Random(seed);
        Semaphore permits = new Semaphore(concurrency);
        while (System.nanoTime() - startedAtNanos < seconds * NANOS_PER_SECOND) {
            if (permits.tryAcquire(100, TimeUnit.MILLISECONDS)) {
                send(client, random, permits::release);
            }
        }
        permits.tryAcquire(concurrency, DRAIN_SECONDS, TimeUnit.SECONDS);
    }

    private void send(LoadClient client, Random random, Runnable onEnd) {
        InetSocketAddress address = TargetAddress.parse(addresses.get(random.nextInt(addresses.size())));
        Map<String, String> headers = new HashMap<>();
        if (!keys.isEmpty()) {
            String nameAndKey = keys.get(random.nextInt(keys.size()));
            headers.put("authorization", "Bearer " + nameAndKey.substring(nameAndKey.indexOf(':') + 1));
        }
        if (idempotent) {
            headers.put("idempotency-key", "load-" + seed + "-" + System.nanoTime() + "-" + nextKey.incrementAndGet());
        }
        client.send(address, path, headers, body(), new ReportListener(onEnd));
    }

    private String body() {
        return "{\"model\":\"" + model + "\",\"max_tokens\":" + tokens + ",\"stream\":" + stream + ",\"prompt\":\""
                + "x".repeat(promptBytes) + "\"}";
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long wait = nanos - System.nanoTime();
        if (wait > 0) {
            TimeUnit.NANOSECONDS.sleep(wait);
        }
    }

    private final class ReportListener implements LoadClient.Listener {
        private final Runnable onEnd;

        ReportListener(Runnable onEnd) {
            this.onEnd = onEnd;
        }

        @Override
        public void onFirstByte(long nanos) {
            report.recordFirstByte(nanos);
        }

        @Override
        public void onGap(long nanos) {
            report.recordGap(nanos);
        }

        @Override
        public void onEnd(int status, long nanos, long events) {
            report.recordEnd(status, nanos, events);
            onEnd.run();
        }

        @Override
        public void onFailure() {
            report.recordFailure();
            onEnd.run();
        }
    }
}
