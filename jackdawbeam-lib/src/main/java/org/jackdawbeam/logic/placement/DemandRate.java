package org.jackdawbeam.logic.placement;

/**
 * Exponentially decaying average of a token rate.
 *
 * @param tokensPerSecond average at the last update
 * @param updatedAtMillis time of the last update
 */
public record DemandRate(double tokensPerSecond, long updatedAtMillis) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the average decayed to the given time. */
    public double at(long nowMillis, double windowMillis) {
        return tokensPerSecond * Math.exp(-Math.max(0, nowMillis - updatedAtMillis) / windowMillis);
    }

    /** Returns the rate after the arrival of a request. */
    public DemandRate plus(double tokens, long nowMillis, double windowMillis) {
        return new DemandRate(at(nowMillis, windowMillis) + tokens * MILLIS_PER_SECOND / windowMillis, nowMillis);
    }
}
