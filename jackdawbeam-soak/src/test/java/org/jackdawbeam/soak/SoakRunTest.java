package org.jackdawbeam.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

/** Executes a short soak run, and all seeds that have failed before. */
class SoakRunTest {
    private static final long MILLIS_PER_SECOND = 1_000;

    @TempDir
    private Path folder;

    @ParameterizedTest
    @CsvFileSource(resources = "/failed-seeds.csv")
    void allGuaranteesHold(long seed, long seconds, int entries, String cause) throws InterruptedException {
        SoakRun run = new SoakRun(seed, seconds * MILLIS_PER_SECOND, entries, folder);

        SoakRun.Report report = run.run();

        assertThat(report.violations()).as(cause).isEmpty();
        assertThat(report.outcomes().get("200")).as("served requests").isPositive();
    }
}
