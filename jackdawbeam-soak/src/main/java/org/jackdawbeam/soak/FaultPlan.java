package org.jackdawbeam.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Draws the disturbances of a soak from its seed. Equal seeds give equal plans. */
public final class FaultPlan {
    private static final long LEAST_GAP_MILLIS = 200;
    private static final long LONGEST_GAP_MILLIS = 2_500;
    private static final long LEAST_MILLIS = 200;
    private static final long LONGEST_MILLIS = 7_000; // more than the longest time limit of a rule, 5 s
    private static final int NUMBERS = 1_000;

    private FaultPlan() {}

    /** Returns disturbances that begin within the given time; they come in series and overlap. */
    public static List<Fault> draw(long seed, long lengthMillis) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        List<Fault> faults = new ArrayList<>();
        long at = random.nextLong(LEAST_GAP_MILLIS, LONGEST_GAP_MILLIS);
        while (at < lengthMillis) {
            long lasts = random.nextLong(LEAST_MILLIS, LONGEST_MILLIS);
            faults.add(new Fault(at, kind(random), random.nextInt(NUMBERS), lasts));
            at += random.nextLong(LEAST_GAP_MILLIS, LONGEST_GAP_MILLIS);
        }
        return List.copyOf(faults);
    }

    private static FaultKind kind(RandomGenerator random) {
        int drawn = random.nextInt(
                Arrays.stream(FaultKind.values()).mapToInt(FaultKind::weight).sum());
        for (FaultKind kind : FaultKind.values()) {
            drawn -= kind.weight();
            if (drawn < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("weights do not add up");
    }
}
