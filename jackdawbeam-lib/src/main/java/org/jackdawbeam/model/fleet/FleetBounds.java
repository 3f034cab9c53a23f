package org.jackdawbeam.model.fleet;

/**
 * Time limits and rates set by the deployment.
 *
 * @param revokeMillis time within which a withdrawn key must stop working
 * @param enginesCheckTokens whether engines reject orders with a fencing token lower than the highest they have seen
 * @param leadershipGapMillis minimum time between orders of two holders of the placement duty if engines do not check
 *     tokens
 * @param graceMillis time from the stop request until the process is killed
 * @param retryRatio retries per request, counted over all entries
 * @param retrySlack additional retries per window, counted over all entries
 * @param retryWindowMillis length of the window for the retry limits
 * @param loadWindowMillis length of the window for the limit on loads from the weight store
 * @param directoryTtlSeconds maximum time for which callers may cache a response of the directory
 */
public record FleetBounds(
        long revokeMillis,
        boolean enginesCheckTokens,
        long leadershipGapMillis,
        long graceMillis,
        double retryRatio,
        double retrySlack,
        long retryWindowMillis,
        long loadWindowMillis,
        int directoryTtlSeconds) {}
