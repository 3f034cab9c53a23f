package org.jackdawbeam.bench.harness;

import java.util.Random;

/**
 * Network conditions: delay, loss and duplication of messages, drawn from a seeded random source.
 *
 * @param random source of all random choices
 * @param minimumMillis shortest delay
 * @param jitterMillis the delay varies by up to this much
 * @param lossProbability probability that a message between entries is lost
 * @param duplicationProbability probability that a message between entries arrives twice
 * @param lateProbability probability that a message is late by up to {@code maximumLateMillis}
 * @param maximumLateMillis longest extra delay
 */
public record Network(
        Random random,
        double minimumMillis,
        double jitterMillis,
        double lossProbability,
        double duplicationProbability,
        double lateProbability,
        double maximumLateMillis) {

    /** Returns a network without faults. */
    public static Network reliable(long seed) {
        return new Network(new Random(seed), 1, 0.5, 0, 0, 0, 0);
    }

    /** Returns a network that drops, duplicates, delays and reorders messages. */
    public static Network faulty(long seed) {
        return new Network(new Random(seed), 1, 5, 0.05, 0.05, 0.05, 4_500);
    }

    double delay() {
        double delay = minimumMillis + random.nextDouble() * jitterMillis;
        return random.nextDouble() < lateProbability ? delay + random.nextDouble() * maximumLateMillis : delay;
    }

    boolean dropsMessage() {
        return random.nextDouble() < lossProbability;
    }

    boolean duplicatesMessage() {
        return random.nextDouble() < duplicationProbability;
    }
}
