package org.jackdawbeam.bench.fleet;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Searches for seeds that lead to a violation of a fleet invariant. */
@Command(
        name = "fleet-search",
        mixinStandardHelpOptions = true,
        description = "Simulates fleets on the users' platform under random failures and prints each seed"
                + " that violates an invariant. Exits with 1 if there is any.")
public final class FleetSearchCommand implements Callable<Integer> {
    @Option(names = "--first-seed", defaultValue = "1", description = "First seed (${DEFAULT-VALUE}).")
    private long firstSeed;

    @Option(names = "--runs", defaultValue = "100", description = "Number of runs (${DEFAULT-VALUE}).")
    private long runs;

    @Option(names = "--older-copies", description = "Restores the store from copies that are a few seconds old.")
    private boolean olderCopies;

    @Option(names = "--evacuations", description = "Evacuates the zone of an engine and takes it back.")
    private boolean evacuations;

    @Option(names = "--versions", description = "Drops models, routes, services and workspaces and brings them back.")
    private boolean versions;

    @Override
    public Integer call() {
        long failed = 0;
        long completed = 0;
        for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
            FleetSearchRun.Result result = run(seed);
            completed += result.completed();
            if (!result.violations().isEmpty()) {
                failed++;
                System.out.println("seed=" + seed + " violations=" + result.violations());
            }
        }
        System.out.println("runs=" + runs + " failed=" + failed + " completed=" + completed);
        return failed == 0 ? 0 : 1;
    }

    private FleetSearchRun.Result run(long seed) {
        if (evacuations) {
            return FleetSearchRun.runWithEvacuations(seed);
        }
        if (versions) {
            return FleetSearchRun.runWithVersions(seed);
        }
        return olderCopies ? FleetSearchRun.runWithOlderCopies(seed) : FleetSearchRun.run(seed);
    }
}
