package org.jackdawbeam.logic.cost;

/**
 * How long work takes on a target's machine, as it stated with an answer.
 *
 * @param percent duration of work as a percentage of the usual
 */
record StatedSlowness(int percent, long statedAtMillis) {
    private static final double HALF_LIFE_MILLIS = 1_000; // the machine is shared, and its load changes within seconds
    private static final double MIN_FACTOR = 0.25;
    private static final double MAX_FACTOR = 8;

    /** Returns the factor on the duration of work, which approaches 1 as the statement ages. */
    double factor(long nowMillis) {
        double stated = Math.clamp(percent / 100.0, MIN_FACTOR, MAX_FACTOR);
        return 1 + (stated - 1) * Math.pow(0.5, Math.max(0, nowMillis - statedAtMillis) / HALF_LIFE_MILLIS);
    }
}
