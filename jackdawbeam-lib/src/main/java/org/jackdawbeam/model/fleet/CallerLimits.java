package org.jackdawbeam.model.fleet;

/** Limits on the size of caller requests and on the time callers may take or stay idle. */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {

    /** Returns the limits that apply until a configuration has been read. */
    public static CallerLimits defaults() {
        return new CallerLimits(16_384, 4_194_304, 10_000, 60_000);
    }
}
