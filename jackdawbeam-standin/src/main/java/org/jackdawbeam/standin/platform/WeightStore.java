package org.jackdawbeam.standin.platform;

/**
 * Computes the duration of loads from the weight store. Starts are limited to a rate, and loads slow down in proportion
 * once more of them run at a time than the store serves at full speed. Thread-safe.
 */
public final class WeightStore {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double loadsPerSecond;
    private final int fullSpeedConcurrency;
    private final long loadMillis;
    private double nextStartMillis;
    private int running;

    public WeightStore(double loadsPerSecond, int fullSpeedConcurrency, long loadMillis) {
        this.loadsPerSecond = loadsPerSecond;
        this.fullSpeedConcurrency = fullSpeedConcurrency;
        this.loadMillis = loadMillis;
    }

    /** Begins a load and returns its duration in milliseconds, including the wait for its start. */
    public synchronized long begin(long nowMillis) {
        double startMillis = Math.max(nowMillis, nextStartMillis);
        nextStartMillis = startMillis + MILLIS_PER_SECOND / loadsPerSecond;
        running++;
        double slowdown = Math.max(1, (double) running / fullSpeedConcurrency);
        return (long) (startMillis - nowMillis + loadMillis * slowdown);
    }

    /** Ends a load, which no longer slows down later ones. */
    public synchronized void end() {
        running--;
    }
}
