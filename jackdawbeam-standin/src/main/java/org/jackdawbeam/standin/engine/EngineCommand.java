package org.jackdawbeam.standin.engine;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.Callable;
import org.jackdawbeam.net.http.BufferedHttpClient;
import org.jackdawbeam.net.target.TargetAddress;
import org.jackdawbeam.standin.StandInServer;
import org.tinylog.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an emulated model engine. */
@Command(
        name = "engine",
        mixinStandardHelpOptions = true,
        description = "Emulated model engine with continuous batching.",
        footer = {"", "GET /seen returns the headers of the latest requests. Faults at run time: POST /faults"})
public final class EngineCommand implements Callable<Integer> {
    private static final long GIBIBYTE = 1L << 30;

    @Option(names = "--listen", required = true, description = "IP:port.")
    private String listen;

    @Option(names = "--store", required = true, description = "IP:port of the platform with the weight store.")
    private String store;

    @Option(names = "--memory-gib", defaultValue = "80", description = "Accelerator memory (${DEFAULT-VALUE}).")
    private long memoryGibibytes;

    @Option(
            names = "--cache-gib",
            defaultValue = "16",
            description = "Memory reserved for the KV cache (${DEFAULT-VALUE}).")
    private long cacheGibibytes;

    @Option(names = "--checks-fencing", description = "Reject orders with an outdated fencing token.")
    private boolean checksFencing;

    @Option(
            names = "--report-lag-ms",
            defaultValue = "200",
            description = "Maximum age of load reports (${DEFAULT-VALUE}).")
    private long reportLagMillis;

    @Option(names = "--speed", defaultValue = "1", description = "Relative speed (${DEFAULT-VALUE}).")
    private double speed;

    @Option(names = "--seed", defaultValue = "1", description = "Random seed of the faults (${DEFAULT-VALUE}).")
    private long seed;

    @Override
    public Integer call() throws InterruptedException {
        EngineProfile profile = EngineProfile.standard(memoryGibibytes * GIBIBYTE, cacheGibibytes * GIBIBYTE)
                .slowedBy(1 / speed);
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("store", true), NioIoHandler.newFactory());
        BufferedHttpClient storeClient = new BufferedHttpClient(group);
        try (EngineStandIn engine = new EngineStandIn(
                        profile, checksFencing, reportLagMillis, storeClient, TargetAddress.parse(store), seed);
                StandInServer server = new StandInServer(TargetAddress.parse(listen), 2, engine)) {
            Logger.info("event=engine_started listen={} port={}", listen, server.port());
            StandInServer.awaitStop();
        }
        return 0;
    }
}
