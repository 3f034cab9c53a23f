package org.jackdawbeam.logic.fleet;

/**
 * How a target has answered this entry lately.
 *
 * @param failureShare moving share of failed attempts, 0 to 1
 * @param consecutiveFailures attempts that failed since the latest answer
 * @param avoidedUntilMillis until when other targets are preferred
 * @param pausedUntilMillis until when the target wants nothing from this entry
 */
public record TargetHealth(
        double failureShare, int consecutiveFailures, long avoidedUntilMillis, long pausedUntilMillis) {
    private static final double FAILURE_WEIGHT = 0.15; // about the last seven attempts count
    private static final long FIRST_AVOIDANCE_MILLIS = 250; // a restart or a lost connection is over by then
    private static final int MAX_DOUBLINGS = 3; // 2 s at most, so that a restarted target is found soon

    static TargetHealth unknown() {
        return new TargetHealth(0, 0, 0, 0);
    }

    TargetHealth succeeded() {
        return new TargetHealth(failureShare * (1 - FAILURE_WEIGHT), 0, avoidedUntilMillis, pausedUntilMillis);
    }

    /** Counts an answer that is a failure; the target is reachable. */
    TargetHealth answeredWithError() {
        return new TargetHealth(shareAfterFailure(), 0, avoidedUntilMillis, pausedUntilMillis);
    }

    /** Counts a failed connection and prefers other targets for a while. */
    TargetHealth unreachable(long nowMillis) {
        long avoidance = FIRST_AVOIDANCE_MILLIS << Math.min(consecutiveFailures, MAX_DOUBLINGS);
        return new TargetHealth(shareAfterFailure(), consecutiveFailures + 1, nowMillis + avoidance, pausedUntilMillis);
    }

    /** Returns the health of a target that wants nothing until the given time; an earlier wish for longer holds. */
    TargetHealth withPauseUntil(long untilMillis) {
        return new TargetHealth(
                failureShare, consecutiveFailures, avoidedUntilMillis, Math.max(pausedUntilMillis, untilMillis));
    }

    private double shareAfterFailure() {
        return failureShare * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
    }
}
