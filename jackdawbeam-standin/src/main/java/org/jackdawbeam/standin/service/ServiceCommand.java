package org.jackdawbeam.standin.service;

import java.util.concurrent.Callable;
import org.jackdawbeam.net.target.TargetAddress;
import org.jackdawbeam.standin.StandInServer;
import org.tinylog.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an emulated plain service. */
@Command(
        name = "service",
        mixinStandardHelpOptions = true,
        description = "Emulated plain service, such as a payment application.",
        footer = {
            "",
            "GET /ledger returns the executions of each Idempotency-Key and the received headers.",
            "Faults at run time: POST /faults {\"delayMillis\":5,\"closeBeforeAnswer\":false,\"silent\":false}"
        })
public final class ServiceCommand implements Callable<Integer> {
    @Option(names = "--listen", required = true, description = "IP:port.")
    private String listen;

    @Option(names = "--name", required = true, description = "Name of the service.")
    private String name;

    @Option(names = "--delay-ms", defaultValue = "5", description = "Duration of a call (${DEFAULT-VALUE}).")
    private long delayMillis;

    @Override
    public Integer call() throws InterruptedException {
        ServiceStandIn service = new ServiceStandIn(name, delayMillis);
        try (StandInServer server = new StandInServer(TargetAddress.parse(listen), 2, service)) {
            service.useTimers(server.group());
            Logger.info("event=service_started name={} listen={}", name, listen);
            StandInServer.awaitStop();
        }
        return 0;
    }
}
