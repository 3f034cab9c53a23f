package org.jackdawbeam.logic.request;

/**
 * Limits retries to a fraction of the requests, so that retries do not amplify overload.
 *
 * @param tokens number of retries allowed now
 */
public record RetryBudget(double tokens) {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MAXIMUM_TOKENS = 20;

    /** Returns a full budget. */
    public static RetryBudget full() {
        return new RetryBudget(MAXIMUM_TOKENS);
    }

    /** Adds the fraction of a retry that each request contributes. */
    public RetryBudget earn() {
        return new RetryBudget(Math.min(MAXIMUM_TOKENS, tokens + RETRIES_PER_REQUEST));
    }

    /** Returns whether a retry is allowed. */
    public boolean allowsRetry() {
        return tokens >= 1;
    }

    /** Deducts one retry. */
    public RetryBudget spend() {
        return new RetryBudget(tokens - 1);
    }
}
