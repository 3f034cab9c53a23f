package org.jackdawbeam.logic.fleet;

import org.jackdawbeam.model.fleet.FleetBounds;

/**
 * Retries at the targets of one service that this entry may still make.
 *
 * @param retries balance as of the last change
 */
public record RetryAllowance(double retries, long accruedAtMillis) {
    // Windows slide and entries do not see each other's retries, so half of the limit is used.
    private static final double USED_SHARE = 0.5;

    static RetryAllowance full(FleetBounds bounds, int members, long nowMillis) {
        return new RetryAllowance(slackPerEntry(bounds, members), nowMillis);
    }

    RetryAllowance accrue(FleetBounds bounds, int members, long nowMillis) {
        double slack = slackPerEntry(bounds, members);
        double accrued = slack * Math.max(0, nowMillis - accruedAtMillis) / bounds.retryWindowMillis();
        return new RetryAllowance(Math.min(slack, retries + accrued), nowMillis);
    }

    /** Earns what a new request allows. */
    RetryAllowance earn(FleetBounds bounds) {
        return new RetryAllowance(retries + USED_SHARE * bounds.retryRatio(), accruedAtMillis);
    }

    boolean allowsOne() {
        return retries >= 1;
    }

    RetryAllowance spend() {
        return new RetryAllowance(retries - 1, accruedAtMillis);
    }

    private static double slackPerEntry(FleetBounds bounds, int members) {
        return Math.max(1, USED_SHARE * bounds.retrySlack() / members);
    }
}
