package org.jackdawbeam.logic.request;

import org.jackdawbeam.model.refusal.Refusal;

/** Decision whether to retry a request after a failed attempt. */
public sealed interface RetryDecision {

    /**
     * The request is retried.
     *
     * @param delayMillis delay before the retry, in milliseconds
     * @param budget retry budget after this retry
     */
    record Retry(long delayMillis, RetryBudget budget) implements RetryDecision {}

    /** The request fails with the given refusal. */
    record GiveUp(Refusal refusal) implements RetryDecision {}
}
