package org.jackdawbeam.logic.request;

import org.jackdawbeam.model.refusal.Refusal;

/** Whether a request may run again after a failed try. */
public sealed interface RetryDecision {

    /**
     * The request may run again.
     *
     * @param delayMillis time to wait before, in milliseconds
     * @param budget the budget after this retry
     */
    record Retry(long delayMillis, RetryBudget budget) implements RetryDecision {}

    /** The request is given up. */
    record GiveUp(Refusal refusal) implements RetryDecision {}
}
