package org.jackdawbeam.logic.rate;

/**
 * Requests that this entry may send to a target now.
 *
 * @param accruedAtMillis time up to which the balance has been accrued
 */
public record RequestBucket(double balance, long accruedAtMillis) {
    private static final double BURST = 1;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns an empty bucket; requests accrue from now on. */
    public static RequestBucket empty(long nowMillis) {
        return new RequestBucket(0, nowMillis);
    }

    /** Returns a bucket from which one request may be sent at once. */
    public static RequestBucket full(long nowMillis) {
        return new RequestBucket(BURST, nowMillis);
    }

    /** Returns the bucket after requests have accrued at the given rate. */
    public RequestBucket accrued(double perSecond, long nowMillis) {
        double accrued = perSecond * Math.max(0, nowMillis - accruedAtMillis) / MILLIS_PER_SECOND;
        return new RequestBucket(Math.min(BURST, balance + accrued), nowMillis);
    }

    /** Returns whether a request may be sent now. */
    public boolean admits() {
        return balance >= BURST;
    }

    /** Returns the bucket after a request was sent. */
    public RequestBucket spent() {
        return new RequestBucket(balance - 1, accruedAtMillis);
    }

    /** Returns the time until the next request at the given rate. */
    public long millisUntilAdmitted(double perSecond) {
        return 1 + (long) Math.ceil(Math.max(0, BURST - balance) * MILLIS_PER_SECOND / perSecond);
    }
}
