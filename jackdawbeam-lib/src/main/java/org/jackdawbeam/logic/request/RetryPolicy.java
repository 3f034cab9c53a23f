package org.jackdawbeam.logic.request;

import java.util.OptionalLong;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptFailure;

/** Decides whether a failed request is retried. All retry decisions are made here. */
public final class RetryPolicy {
    private static final int MAXIMUM_ATTEMPTS = 5;
    private static final int MAXIMUM_REJECTED_ATTEMPTS = 12;
    private static final long FIRST_BACKOFF_MILLIS = 20;
    private static final int MAXIMUM_DOUBLINGS = 4;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private RetryPolicy() {}

    /**
     * Decides whether to retry after a failed attempt.
     *
     * @param request the request with the failure already recorded
     * @param failure reason of the failure
     * @param mayHaveRun whether the target may have executed the request
     */
    public static RetryDecision decide(
            Request request, AttemptFailure failure, boolean mayHaveRun, RetryBudget budget, long nowMillis) {
        boolean once = !request.work().repeatable();
        if (once && mayHaveRun) {
            return new RetryDecision.GiveUp(Refusal.unknown(RefusalCode.OUTCOME_UNKNOWN));
        }
        if (request.callerLeft()) {
            return giveUp(request, RefusalCode.TARGET_FAILED);
        }
        long delayMillis = backoffMillis(request);
        if (nowMillis + delayMillis >= request.deadlineMillis()) {
            return giveUp(request, RefusalCode.DEADLINE_EXCEEDED);
        }
        boolean rejected = failure == AttemptFailure.REJECTED;
        if (request.attempts() >= (rejected ? MAXIMUM_REJECTED_ATTEMPTS : MAXIMUM_ATTEMPTS)) {
            return giveUp(request, RefusalCode.TARGET_FAILED);
        }
        if (rejected) {
            return new RetryDecision.Retry(delayMillis, budget);
        }
        if (!budget.allowsRetry()) {
            return giveUp(request, RefusalCode.NO_CAPACITY);
        }
        return new RetryDecision.Retry(delayMillis, budget.spend());
    }

    private static RetryDecision giveUp(Request request, RefusalCode code) {
        ExecutionStatus ran = request.written() ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO;
        return new RetryDecision.GiveUp(new Refusal(code, ran, OptionalLong.of(RETRY_AFTER_MILLIS)));
    }

    /** Returns no delay for the first retry and exponential backoff with jitter for later ones. */
    private static long backoffMillis(Request request) {
        if (request.attempts() <= 1) {
            return 0;
        }
        int doublings = Math.min(request.attempts() - 2, MAXIMUM_DOUBLINGS);
        long full = FIRST_BACKOFF_MILLIS << doublings;
        long jitter = Math.floorMod(request.id() * 31 + request.attempts() * 17L, full);
        return full / 2 + jitter / 2;
    }
}
