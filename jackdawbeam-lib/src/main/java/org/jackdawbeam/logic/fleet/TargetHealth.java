package org.jackdawbeam.logic.fleet;

/**
 * Recent failures and pauses of a target as observed by this entry.
 *
 * @param failureShare moving average of the share of failed attempts, 0 to 1
 * @param consecutiveFailures number of failed connections since the latest answer
 * @param avoidedUntilMillis end of the time in which other targets are preferred
 * @param pausedUntilMillis end of the time in which the target accepts no requests of this entry
 */
public record TargetHealth(
        double failureShare, int consecutiveFailures, long avoidedUntilMillis, long pausedUntilMillis) {
    private static final double FAILURE_WEIGHT = 0.15; // averages over about seven attempts
    private static final long FIRST_AVOIDANCE_MILLIS = 250; // long enough for a restart or a reconnect
    private static final int MAX_DOUBLINGS = 3; // 2 s at most, so that a restarted target is used again soon

    static TargetHealth unknown() {
        return new TargetHealth(0, 0, 0, 0);
    }

    TargetHealth succeeded() {
        return new TargetHealth(failureShare * (1 - FAILURE_WEIGHT), 0, avoidedUntilMillis, pausedUntilMillis);
    }

    /** Counts an error answer; the target is still reachable. */
    TargetHealth answeredWithError() {
        return new TargetHealth(shareAfterFailure(), 0, avoidedUntilMillis, pausedUntilMillis);
    }

    /** Counts a failed connection and avoids the target for a while. */
    TargetHealth unreachable(long nowMillis) {
        long avoidance = FIRST_AVOIDANCE_MILLIS << Math.min(consecutiveFailures, MAX_DOUBLINGS);
        return new TargetHealth(shareAfterFailure(), consecutiveFailures + 1, nowMillis + avoidance, pausedUntilMillis);
    }

    /** Returns the health of a target that is paused until the given time, or longer if an earlier pause ends later. */
    TargetHealth withPauseUntil(long untilMillis) {
        return new TargetHealth(
                failureShare, consecutiveFailures, avoidedUntilMillis, Math.max(pausedUntilMillis, untilMillis));
    }

    private double shareAfterFailure() {
        return failureShare * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
    }
}
