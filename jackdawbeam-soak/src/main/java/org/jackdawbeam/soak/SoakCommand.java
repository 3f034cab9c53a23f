package org.jackdawbeam.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command line that executes soak runs with consecutive seeds. */
@Command(
        name = "jackdawbeam-soak",
        mixinStandardHelpOptions = true,
        description = "Runs entry processes under injected faults; exits with 1 if a guarantee was violated.")
public final class SoakCommand implements Callable<Integer> {
    private static final long MILLIS_PER_SECOND = 1_000;

    @Option(names = "--seed", defaultValue = "1", description = "first seed (${DEFAULT-VALUE})")
    private long firstSeed;

    @Option(names = "--seeds", defaultValue = "1", description = "number of seeds (${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--seconds", defaultValue = "40", description = "time with faults per seed (${DEFAULT-VALUE})")
    private long seconds;

    @Option(names = "--entries", defaultValue = "3", description = "entry processes (${DEFAULT-VALUE})")
    private int entries;

    @Option(names = "--folder", description = "folder for settings and logs (default: a temporary folder)")
    private Path folder;

    /** Runs the command line. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new SoakCommand()).execute(arguments));
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Path root = folder == null ? Files.createTempDirectory("jackdawbeam-soak") : folder;
        int failed = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            Path logs = Files.createDirectories(root.resolve("seed-" + seed));
            SoakRun.Report report = new SoakRun(seed, seconds * MILLIS_PER_SECOND, entries, logs).run();
            System.out.println("seed=" + seed + " faults=" + report.faults() + " outcomes=" + report.outcomes()
                    + " broken=" + report.violations().size() + " logs=" + logs);
            report.violations().forEach(System.out::println);
            failed += report.violations().isEmpty() ? 0 : 1;
        }
        System.out.println("seeds=" + seeds + " failed=" + failed);
        return failed == 0 ? 0 : 1;
    }
}
