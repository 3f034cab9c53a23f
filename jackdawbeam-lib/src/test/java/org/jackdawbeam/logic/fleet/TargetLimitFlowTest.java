package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests of all entries together at a target that limits them. */
class TargetLimitFlowTest {
    private static final long WINDOW_MILLIS = 4_000;
    private static final long LEARNING_MILLIS = 3_000;
    private static final double TOLERANCE = 1.5;
    private static final int SLACK = 5;

    private static double allowed(double limit) {
        return TOLERANCE * limit * WINDOW_MILLIS / 1_000 + SLACK;
    }

    // Guards against entries that each send as many requests as a target accepts from all of them together.
    @ParameterizedTest
    @CsvSource({"8, 1.1", "8, 1.2", "8, 0.001", "8, 6", "16, 1.1", "3, 0.4", "20, 2.5"})
    void allEntriesTogetherKeepTheLimitOfATarget(int hosts, double limit) {
        LimitedFleet fleet = new LimitedFleet(hosts, 3);
        fleet.run(2_000, 200, "read");
        fleet.limit = OptionalDouble.of(limit);
        long named = fleet.nowMillis;

        fleet.run(15_000, 200, "read");

        assertThat((double) fleet.most(named + LEARNING_MILLIS, WINDOW_MILLIS)).isLessThanOrEqualTo(allowed(limit));
    }
}
