package org.jackdawbeam.logic.fleet;

import org.jackdawbeam.model.fleet.FleetBounds;

/**
 * Number of retries that this entry may still make at the targets of one service.
 *
 * @param balance number of retries left as of the last change
 */
public record RetryBudget(double balance, long accruedAtMillis) {
    // Only half of the limit is used, as windows slide and entries do not see each other's retries.
    private static final double USED_SHARE = 0.5;

    static RetryBudget full(FleetBounds bounds, int members, long nowMillis) {
        return new RetryBudget(slackPerEntry(bounds, members), nowMillis);
    }

    RetryBudget accrue(FleetBounds bounds, int members, long nowMillis) {
        double slack = slackPerEntry(bounds, members);
        double accrued = slack * Math.max(0, nowMillis - accruedAtMillis) / bounds.retryWindowMillis();
        return new RetryBudget(Math.min(slack, balance + accrued), nowMillis);
    }

    /** Adds the share of a retry that a new request allows. */
    RetryBudget credit(FleetBounds bounds) {
        return new RetryBudget(balance + USED_SHARE * bounds.retryRatio(), accruedAtMillis);
    }

    boolean allowsRetry() {
        return balance >= 1;
    }

    RetryBudget spend() {
        return new RetryBudget(balance - 1, accruedAtMillis);
    }

    private static double slackPerEntry(FleetBounds bounds, int members) {
        return Math.max(1, USED_SHARE * bounds.retrySlack() / members);
    }
}
