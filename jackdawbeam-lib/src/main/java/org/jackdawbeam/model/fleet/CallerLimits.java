package org.jackdawbeam.model.fleet;

/** Bounds on what callers may send and on how long they may take or stay idle. */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {

    /** Returns the bounds in force until a configuration is known. */
    public static CallerLimits defaults() {
        return new CallerLimits(16_384, 4_194_304, 10_000, 60_000);
    }
}
