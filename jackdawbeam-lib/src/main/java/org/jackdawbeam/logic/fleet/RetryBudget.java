package org.jackdawbeam.logic.fleet;

import org.jackdawbeam.model.fleet.FleetBounds;

/**
 * Retries at the targets of one service that this entry may still make.
 *
 * @param balance balance as of the last change
 */
public record RetryBudget(double balance, long accruedAtMillis) {
    // Windows slide and entries do not see each other's retries, so half of the limit is used.
    private static final double USED_SHARE = 0.5;

    static RetryBudget full(FleetBounds bounds, int members, long nowMillis) {
        return new RetryBudget(slackPerEntry(bounds, members), nowMillis);
    }

    RetryBudget accrue(FleetBounds bounds, int members, long nowMillis) {
        double slack = slackPerEntry(bounds, members);
        double accrued = slack * Math.max(0, nowMillis - accruedAtMillis) / bounds.retryWindowMillis();
        return new RetryBudget(Math.min(slack, balance + accrued), nowMillis);
    }

    /** Earns what a new request allows. */
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
