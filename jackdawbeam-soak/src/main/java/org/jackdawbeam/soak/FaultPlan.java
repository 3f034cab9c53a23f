package org.jackdawbeam.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Generates the faults of a soak run from its seed. Equal seeds give equal plans. */
public final class FaultPlan {
    private static final long MINIMUM_INTERVAL_MILLIS = 200;
    private static final long MAXIMUM_INTERVAL_MILLIS = 2_500;
    private static final long MINIMUM_DURATION_MILLIS = 200;
    private static final long MAXIMUM_DURATION_MILLIS = 7_000; // exceeds the longest time limit of a guarantee, 5 s
    private static final long SECOND_ANSWERS_INTERVAL_MILLIS = 8_000;
    private static final int NUMBER_BOUND = 1_000;

    private FaultPlan() {}

    /** Returns faults in the order of their start times, all before the given length. Their durations may overlap. */
    public static List<Fault> generate(long seed, long lengthMillis) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        List<Fault> faults = new ArrayList<>();
        long atMillis = random.nextLong(MINIMUM_INTERVAL_MILLIS, MAXIMUM_INTERVAL_MILLIS);
        while (atMillis < lengthMillis) {
            long durationMillis = random.nextLong(MINIMUM_DURATION_MILLIS, MAXIMUM_DURATION_MILLIS);
            faults.add(new Fault(atMillis, randomKind(random), random.nextInt(NUMBER_BOUND), durationMillis));
            atMillis += random.nextLong(MINIMUM_INTERVAL_MILLIS, MAXIMUM_INTERVAL_MILLIS);
        }
        faults.addAll(secondAnswers(seed, lengthMillis));
        faults.sort(Comparator.comparingLong(Fault::atMillis));
        return List.copyOf(faults);
    }

    /** Draws from a generator of their own, so that the plans of earlier findings keep their other faults. */
    private static List<Fault> secondAnswers(long seed, long lengthMillis) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(~seed);
        List<Fault> faults = new ArrayList<>();
        long atMillis = random.nextLong(SECOND_ANSWERS_INTERVAL_MILLIS);
        while (atMillis < lengthMillis) {
            long durationMillis = random.nextLong(MINIMUM_DURATION_MILLIS, MAXIMUM_DURATION_MILLIS);
            faults.add(new Fault(atMillis, FaultKind.SECOND_ANSWERS, random.nextInt(NUMBER_BOUND), durationMillis));
            atMillis += random.nextLong(MINIMUM_INTERVAL_MILLIS, SECOND_ANSWERS_INTERVAL_MILLIS);
        }
        return faults;
    }

    private static FaultKind randomKind(RandomGenerator random) {
        int remaining = random.nextInt(
                Arrays.stream(FaultKind.values()).mapToInt(FaultKind::weight).sum());
        for (FaultKind kind : FaultKind.values()) {
            remaining -= kind.weight();
            if (remaining < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("drawn number exceeds the sum of the fault weights");
    }
}
