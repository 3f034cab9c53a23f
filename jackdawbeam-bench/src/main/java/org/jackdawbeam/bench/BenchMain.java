package org.jackdawbeam.bench;

import org.jackdawbeam.bench.capacity.CapacityCommand;
import org.jackdawbeam.bench.decision.DecisionCommand;
import org.jackdawbeam.bench.fleet.FleetSearchCommand;
import org.jackdawbeam.bench.invariant.SearchCommand;
import org.jackdawbeam.bench.logs.LossesCommand;
import org.jackdawbeam.bench.policy.PolicyCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Command line entry point of the benchmarks. */
@Command(
        name = "jackdawbeam-bench",
        mixinStandardHelpOptions = true,
        description = "Benchmarks scheduling decisions and searches for invariant violations.",
        subcommands = {
            CapacityCommand.class,
            DecisionCommand.class,
            SearchCommand.class,
            FleetSearchCommand.class,
            PolicyCommand.class,
            LossesCommand.class
        })
public final class BenchMain {

    /** Runs a subcommand and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new BenchMain()).execute(arguments));
    }
}
