package org.jackdawbeam.standin.platform;

/** Works out how long loads from the weight store take: a rate of starts, and a full speed for a few at a time. */
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

    /** Begins a load and returns how long it takes, in milliseconds. */
    public synchronized long begin(long nowMillis) {
        double startMillis = Math.max(nowMillis, nextStartMillis);
        nextStartMillis = startMillis + MILLIS_PER_SECOND / loadsPerSecond;
        running++;
        double slowdown = Math.max(1, (double) running / fullSpeedConcurrency);
        return (long) (startMillis - nowMillis + loadMillis * slowdown);
    }

    /** Ends a load. */
    public synchronized void end() {
        running--;
    }
}
