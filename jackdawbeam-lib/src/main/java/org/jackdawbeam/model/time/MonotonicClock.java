package org.jackdawbeam.model.time;

/** Monotonic time source for timeouts and decisions. The origin is arbitrary. */
@FunctionalInterface
public interface MonotonicClock {

    /** Returns the time in milliseconds. */
    long nowMillis();

    /** Returns a clock based on {@link System#nanoTime()}. */
    static MonotonicClock system() {
        long originNanos = System.nanoTime();
        return () -> (System.nanoTime() - originNanos) / 1_000_000;
    }
}
