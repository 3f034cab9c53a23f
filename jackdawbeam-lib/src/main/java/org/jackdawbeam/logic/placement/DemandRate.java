package org.jackdawbeam.logic.placement;

/**
 * Exponentially decaying average of a rate.
 *
 * @param tokensPerSecond average as of the last update
 * @param updatedAtMillis time of the last update
 */
public record DemandRate(double tokensPerSecond, long updatedAtMillis) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the average as of now. */
    public double at(long nowMillis, double windowMillis) {
        return tokensPerSecond * Math.exp(-Math.max(0, nowMillis - updatedAtMillis) / windowMillis);
    }

    /** Adds an arrival. */
    public DemandRate plus(double tokens, long nowMillis, double windowMillis) {
        return new DemandRate(at(nowMillis, windowMillis) + tokens * MILLIS_PER_SECOND / windowMillis, nowMillis);
    }
}
