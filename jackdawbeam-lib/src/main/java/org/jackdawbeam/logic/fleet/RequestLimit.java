package org.jackdawbeam.logic.fleet;

/**
 * Number of requests that a target accepts from all entries together, and this entry's bucket for them.
 *
 * @param heardAtMillis when the target last stated it, to this entry or another
 * @param balance requests that this entry may send now
 * @param accruedAtMillis time up to which the balance has been accrued
 */
record RequestLimit(double requestsPerSecond, long heardAtMillis, double balance, long accruedAtMillis) {
    private static final double BURST = 1;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns a limit that has just been stated; requests accrue from now on. */
    static RequestLimit stated(double requestsPerSecond, long nowMillis) {
        return new RequestLimit(requestsPerSecond, nowMillis, 0, nowMillis);
    }

    /** Returns the limit after the target has stated it again, perhaps with another value. */
    RequestLimit statedAgain(double statedPerSecond, long nowMillis) {
        return new RequestLimit(statedPerSecond, Math.max(heardAtMillis, nowMillis), balance, accruedAtMillis);
    }

    /** Returns the limit after requests have accrued at the given rate. */
    RequestLimit accrued(double perSecond, long nowMillis) {
        double accrued = perSecond * Math.max(0, nowMillis - accruedAtMillis) / MILLIS_PER_SECOND;
        return new RequestLimit(requestsPerSecond, heardAtMillis, Math.min(BURST, balance + accrued), nowMillis);
    }

    boolean admits() {
        return balance >= BURST;
    }

    RequestLimit spent() {
        return new RequestLimit(requestsPerSecond, heardAtMillis, balance - 1, accruedAtMillis);
    }

    /** Returns the time until the next request at the given rate. */
    long millisUntilAdmitted(double perSecond) {
        return 1 + (long) Math.ceil(Math.max(0, BURST - balance) * MILLIS_PER_SECOND / perSecond);
    }
}
