package org.jackdawbeam.logic.fleet;

import org.jackdawbeam.model.fleet.Workspace;

/**
 * The units of a workspace that this entry gives out.
 *
 * @param balance units left; below zero after a request that was larger than what was there
 * @param accruedAtMillis time up to which units have been accrued
 */
public record QuotaBucket(double balance, long accruedAtMillis) {
    private static final double MILLIS_PER_SECOND = 1_000;
    // The predecessor may have given out a whole burst just before; the limit's tolerance is a tenth.
    private static final double INITIAL_SHARE_OF_BURST = 0.3;
    private static final double PLAIN_CALL_OVERDRAFT_SHARE_OF_BURST = 0.1; // the limit's tolerance

    /**
     * Returns the bucket of an entry that has not given out any units yet.
     *
     * @param countsSinceMillis since when nobody else has given out units; they have accrued since
     */
    static QuotaBucket initial(Workspace workspace, long countsSinceMillis) {
        return new QuotaBucket(workspace.burst() * INITIAL_SHARE_OF_BURST, countsSinceMillis);
    }

    /**
     * Returns the bucket after accruing up to now.
     *
     * @param share part of the workspace's rate that this entry may give out
     */
    QuotaBucket accrue(Workspace workspace, double share, long nowMillis) {
        double accrued =
                workspace.ratePerSecond() * share * Math.max(0, nowMillis - accruedAtMillis) / MILLIS_PER_SECOND;
        return new QuotaBucket(Math.min(balance + accrued, workspace.burst() * share), nowMillis);
    }

    /**
     * Returns whether a request may be admitted: as long as there is something left, whatever it costs. It is paid off
     * before the next one. If a request had to find all its units, small ones would take what accrues and leave nothing
     * to large ones. Calls without tokens cost little and need not wait until prompts are paid off.
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

    /** Returns how long it takes until the request can be admitted. */
    long millisUntil(Workspace workspace, double share, double units) {
        double missing = lowestBalance(workspace, share, units) - balance;
        return 1 + (long) Math.ceil(Math.max(0, missing) * MILLIS_PER_SECOND / (workspace.ratePerSecond() * share));
    }
}
