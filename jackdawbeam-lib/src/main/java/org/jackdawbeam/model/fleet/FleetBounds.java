package org.jackdawbeam.model.fleet;

/**
 * Time limits and rates that the deployment sets.
 *
 * @param revokeMillis time after which a withdrawn key must not work any more
 * @param enginesCheckTokens whether engines reject orders with a fencing token lower than one seen before
 * @param leadershipGapMillis time that must pass between orders of two holders of the placement duty where engines do
 *     not check tokens
 * @param graceMillis time from the request to stop until the process is ended
 * @param retryRatio retries at targets for each request, over all entries
 * @param retrySlack further retries in each window, over all entries
 * @param retryWindowMillis window of the retry limits
 * @param loadWindowMillis window of the limit on loads from the weight store
 * @param directoryTtlSeconds longest time that callers may keep an answer of the directory
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
