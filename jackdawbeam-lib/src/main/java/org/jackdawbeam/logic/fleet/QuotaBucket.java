package org.jackdawbeam.logic.fleet;

import org.jackdawbeam.model.fleet.Workspace;

/**
 * Token bucket with the quota units of a workspace that this entry may grant.
 *
 * @param balance units left; negative after a request that cost more than the remaining balance
 * @param accruedAtMillis time up to which units have been accrued
 */
public record QuotaBucket(double balance, long accruedAtMillis) {
    private static final double MILLIS_PER_SECOND = 1_000;
    // The previous owner may have granted a full burst just before; the limit is enforced with a tolerance of a tenth.
    private static final double INITIAL_SHARE_OF_BURST = 0.3;
    private static final double PLAIN_CALL_OVERDRAFT_SHARE_OF_BURST = 0.1; // tolerance of the limit

    /**
     * Returns the bucket of an entry that has not granted any units yet.
     *
     * @param ownedSinceMillis since when this entry has owned the quota; units accrue from then on
     */
    static QuotaBucket initial(Workspace workspace, long ownedSinceMillis) {
        return new QuotaBucket(workspace.burst() * INITIAL_SHARE_OF_BURST, ownedSinceMillis);
    }

    /**
     * Returns the bucket after accruing up to now.
     *
     * @param share part of the workspace's rate that this entry may grant
     */
    QuotaBucket accrue(Workspace workspace, double share, long nowMillis) {
        double accrued =
                workspace.ratePerSecond() * share * Math.max(0, nowMillis - accruedAtMillis) / MILLIS_PER_SECOND;
        return new QuotaBucket(Math.min(balance + accrued, workspace.burst() * share), nowMillis);
    }

    /**
     * Returns whether a request is admitted. A positive balance admits a request of any cost; the resulting debt is
     * repaid before the next request. If the balance had to cover the whole cost, small requests would consume the
     * units as they accrue and starve large ones. Calls without tokens cost little and may overdraw the bucket by a
     * small share of the burst, so that they do not wait for the debt of prompts.
     */
    boolean admits(Workspace workspace, double share, double units) {
        return balance > lowestBalance(workspace, share, units);
    }

    private static double lowestBalance(Workspace workspace, double share, double units) {
        boolean withoutTokens = workspace.countsTokens() && units <= workspace.plainTokens();
        return withoutTokens ? -workspace.burst() * share * PLAIN_CALL_OVERDRAFT_SHARE_OF_BURST : 0;
    }

    QuotaBucket spend(double units) {
        return new QuotaBucket(balance - units, accruedAtMillis);
    }

    /** Returns the time until the request can be admitted. */
    long millisUntil(Workspace workspace, double share, double units) {
        double missing = lowestBalance(workspace, share, units) - balance;
        return 1 + (long) Math.ceil(Math.max(0, missing) * MILLIS_PER_SECOND / (workspace.ratePerSecond() * share));
    }
}
