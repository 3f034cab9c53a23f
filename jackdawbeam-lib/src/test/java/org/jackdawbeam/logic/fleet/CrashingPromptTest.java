package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A part of a prompt crashes each engine that begins to answer it, in a fleet of several entries. */
class CrashingPromptTest {
    private static final long CRASHING_PART = 0xbad;
    private static final long CONTACT_MILLIS = 3_000; // the users' limit for entries to learn of something
    private static final int CRASHES_BEFORE_LIMIT = 5;
    private static final int MAX_ARRIVALS_AFTER_LIMIT = 3;

    private static CrashingPromptFleet fleet(long seed) {
        CrashingPromptFleet fleet = new CrashingPromptFleet(8, 3, 13, seed);
        fleet.crashingParts.add(CRASHING_PART);
        fleet.run(1_000);
        return fleet;
    }

    /** Returns how many requests with the part reached engines after the fifth crash and the time to learn of it. */
    private static long arrivalsAfterLimit(CrashingPromptFleet fleet) {
        List<Long> crashes = fleet.crashes.stream().sorted().toList();
        if (crashes.size() < CRASHES_BEFORE_LIMIT) {
            return 0;
        }
        long limit = crashes.get(CRASHES_BEFORE_LIMIT - 1) + CONTACT_MILLIS;
        return fleet.arrivals.stream()
                .filter(arrival -> arrival.atMillis() > limit)
                .count();
    }

    // Guards against requests with the same part of a prompt crashing one engine after the other (BUDGET).
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void requestsWithAPartThatCrashesEnginesStopReachingEngines(long seed) {
        CrashingPromptFleet fleet = fleet(seed);

        fleet.load(25_000, 50, 0.05, CRASHING_PART);

        assertThat(arrivalsAfterLimit(fleet)).isLessThanOrEqualTo(MAX_ARRIVALS_AFTER_LIMIT);
    }
}
