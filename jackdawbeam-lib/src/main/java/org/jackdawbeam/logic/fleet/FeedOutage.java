package org.jackdawbeam.logic.fleet;

/**
 * What the reads of a feed have shown of the latest outage of the store. While the store is away, registrations expire;
 * their targets renew them soon after its return. The return is only known to lie between the last unanswered read and
 * the first answer.
 *
 * @param answeredAtMillis time of the latest answer; far in the past before the first
 * @param unansweredAtMillis when the last read was sent that got no answer; far in the past if there was none
 * @param renewalsUntilMillis time until which a removed registration may be renewed; far in the past without an outage
 */
record FeedOutage(long answeredAtMillis, long unansweredAtMillis, long renewalsUntilMillis) {
    private static final long NEVER = Long.MIN_VALUE / 2;

    static FeedOutage none() {
        return new FeedOutage(NEVER, NEVER, NEVER);
    }

    FeedOutage unanswered(long sentAtMillis) {
        return new FeedOutage(answeredAtMillis, sentAtMillis, renewalsUntilMillis);
    }

    /**
     * Returns the outage after an answer.
     *
     * @param failures unanswered reads since the previous answer
     */
    FeedOutage answered(long nowMillis, int failures) {
        boolean registrationsExpired =
                failures > 0 && nowMillis - answeredAtMillis >= FleetTimings.SHORTEST_EXPIRING_OUTAGE;
        return registrationsExpired
                ? returned(nowMillis, unansweredAtMillis)
                : new FeedOutage(nowMillis, unansweredAtMillis, renewalsUntilMillis);
    }

    /** Returns the outage of a store that has returned after the earliest and before the latest possible time. */
    FeedOutage returned(long latestMillis, long earliestMillis) {
        long until = Math.min(
                latestMillis + FleetTimings.RENEWAL_PERIOD, earliestMillis + FleetTimings.REMOVALS_FINAL_AFTER);
        return new FeedOutage(latestMillis, unansweredAtMillis, until);
    }
}
