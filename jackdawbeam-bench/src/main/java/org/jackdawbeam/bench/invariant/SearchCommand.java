package org.jackdawbeam.bench.invariant;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Searches for seeds that lead to an invariant violation. */
@Command(
        name = "search",
        mixinStandardHelpOptions = true,
        description =
                "Simulates small fleets under random failures with fresh seeds and prints each seed that violates an"
                        + " invariant. Exits with 1 if there is any.")
public final class SearchCommand implements Callable<Integer> {
    @Option(
            names = "--seconds",
            defaultValue = "60",
            description = "Duration of the search in seconds (${DEFAULT-VALUE}).")
    private long seconds;

    @Option(names = "--first-seed", description = "First seed; the current time by default.")
    private Long firstSeed;

    @Option(names = "--runs", defaultValue = "1000000", description = "Maximum number of runs (${DEFAULT-VALUE}).")
    private long maximumRuns;

    @Option(names = "--trace", description = "Prints those log records of failed runs that contain this text.")
    private String trace;

    @Override
    public Integer call() {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        long seed = firstSeed == null ? System.currentTimeMillis() : firstSeed;
        long runs = 0;
        long failed = 0;
        long completed = 0;
        long refused = 0;
        while (System.nanoTime() < end && runs < maximumRuns) {
            InvariantRun.Result result = InvariantRun.run(seed++, InvariantRun.options());
            runs++;
            completed += result.completed();
            refused += result.refused();
            if (!result.violations().isEmpty()) {
                failed++;
                System.out.println("seed=" + result.seed() + " violations=" + result.violations());
                printTrace(result);
            }
        }
        System.out.println("runs=" + runs + " failed=" + failed + " completed=" + completed + " refused=" + refused);
        return failed == 0 ? 0 : 1;
    }

    private void printTrace(InvariantRun.Result result) {
        if (trace == null) {
            return;
        }
        result.log().stream()
                .filter(entry -> entry.record().toString().contains(trace))
                .forEach(System.out::println);
    }
}
