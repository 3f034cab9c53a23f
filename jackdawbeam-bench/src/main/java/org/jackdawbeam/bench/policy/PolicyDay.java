package org.jackdawbeam.bench.policy;

import java.util.List;

/**
 * Events of a simulated day.
 *
 * @param load factor by which all request rates are multiplied
 * @param shiftsAt seconds at which demand starts to shift to the next model
 * @param bursts periods with a higher request rate of one kind
 * @param crashes engines that crash and restart empty
 * @param seconds duration of the simulated day
 */
record PolicyDay(
        String name, double load, List<Double> shiftsAt, List<Burst> bursts, List<Crash> crashes, double seconds) {
    private static final double SHIFT_SECONDS = 5.5;

    /** A period with a higher request rate of one kind, which is given by its index in the list of the site. */
    record Burst(int kind, double fromSecond, double toSecond, double factor) {}

    /** A crash of an engine and the time until it restarts. */
    record Crash(int engine, double atSecond, double forSeconds) {}

    static final List<PolicyDay> ALL = List.of(
            new PolicyDay("calm", 1, List.of(), List.of(), List.of(), 40),
            new PolicyDay("moving-demand", 1, List.of(1.0, 14.0, 24.0), List.of(), List.of(), 40),
            new PolicyDay(
                    "rare-models-at-once",
                    1,
                    List.of(14.0),
                    List.of(new Burst(1, 3, 7, 5), new Burst(1, 20, 24, 5)),
                    List.of(),
                    40),
            new PolicyDay(
                    "engines-lost",
                    1,
                    List.of(1.0, 16.0),
                    List.of(new Burst(2, 6, 10, 1.6)),
                    List.of(new Crash(0, 7.7, 6), new Crash(1, 7.7, 4), new Crash(2, 25, 4)),
                    40),
            new PolicyDay(
                    "heavy",
                    1.4,
                    List.of(1.0, 14.0, 24.0),
                    List.of(new Burst(0, 8, 12, 1.6), new Burst(2, 9, 13, 1.7)),
                    List.of(),
                    40));

    /** Returns a day without events on which all rates are multiplied by a factor. */
    static PolicyDay steady(double load) {
        return new PolicyDay("load-" + load, load, List.of(), List.of(), List.of(), 40);
    }

    /** Returns by how many positions demand has shifted along the lists of models. */
    double shift(double second) {
        return shiftsAt.stream()
                .mapToDouble(start -> Math.clamp((second - start) / SHIFT_SECONDS, 0, 1))
                .sum();
    }

    double rateFactor(int kind, double second) {
        return bursts.stream()
                .filter(burst -> burst.kind() == kind && second >= burst.fromSecond() && second < burst.toSecond())
                .mapToDouble(Burst::factor)
                .reduce(load, (one, other) -> one * other);
    }
}
