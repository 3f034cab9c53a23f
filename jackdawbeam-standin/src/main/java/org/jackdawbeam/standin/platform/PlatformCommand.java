package org.jackdawbeam.standin.platform;

import java.util.concurrent.Callable;
import org.jackdawbeam.net.target.TargetAddress;
import org.jackdawbeam.standin.StandInServer;
import org.tinylog.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the emulated platform. */
@Command(
        name = "platform",
        mixinStandardHelpOptions = true,
        description = "Emulated platform with log service, host list and weight store.",
        footer = {
            "",
            "Faults at run time: POST /faults",
            "  {\"outage\":false,\"delayMillis\":0,\"lostAnswers\":0.0,\"hostListLagMillis\":1000}"
        })
public final class PlatformCommand implements Callable<Integer> {
    @Option(names = "--listen", required = true, description = "IP:port.")
    private String listen;

    @Option(
            names = "--retention-ms",
            defaultValue = "3600000",
            description = "Retention time of log records (${DEFAULT-VALUE}).")
    private long retentionMillis;

    @Option(
            names = "--appends-per-second",
            defaultValue = "500",
            description = "Limit on append calls per second (${DEFAULT-VALUE}).")
    private int appendsPerSecond;

    @Option(
            names = "--loads-per-second",
            defaultValue = "2.5",
            description = "Limit on starts of weight loads per second (${DEFAULT-VALUE}).")
    private double loadsPerSecond;

    @Option(
            names = "--concurrent-loads",
            defaultValue = "3",
            description = "Concurrent loads at full speed (${DEFAULT-VALUE}).")
    private int concurrentLoads;

    @Option(names = "--load-ms", defaultValue = "400", description = "Duration of a load (${DEFAULT-VALUE}).")
    private long loadMillis;

    @Option(names = "--seed", defaultValue = "1", description = "Random seed of the faults (${DEFAULT-VALUE}).")
    private long seed;

    @Override
    public Integer call() throws InterruptedException {
        PlatformStandIn platform = new PlatformStandIn(
                new LogStore(retentionMillis, appendsPerSecond),
                new WeightStore(loadsPerSecond, concurrentLoads, loadMillis),
                seed);
        try (StandInServer server = new StandInServer(TargetAddress.parse(listen), 2, platform)) {
            platform.useTimers(server.group());
            Logger.info("event=platform_started listen={}", listen);
            StandInServer.awaitStop();
        }
        return 0;
    }
}
