package org.jackdawbeam.logic.fleet;

/**
 * An attempt that was sent to a target and has not ended.
 *
 * @param prefillTokens prompt tokens that the target has to process, without those that it has probably cached
 * @param queuedAheadTokens prompt tokens of other requests that it was expected to process first
 * @param estimateMillis expected time to the first byte
 * @param late whether it was sent at the lowest priority because it would miss its objective
 * @param answering whether the answer has begun
 */
public record OutstandingAttempt(
        long sentAtMillis,
        long prefillTokens,
        long queuedAheadTokens,
        long estimateMillis,
        boolean late,
        boolean answering) {

    OutstandingAttempt withAnswerBegun() {
        return new OutstandingAttempt(sentAtMillis, prefillTokens, queuedAheadTokens, estimateMillis, late, true);
    }

    /** Returns by how much the answer is overdue: twice the estimate and the allowance are tolerated. */
    long overdueMillis(long nowMillis, long allowanceMillis) {
        return answering || late ? 0 : Math.max(0, nowMillis - sentAtMillis - 2 * estimateMillis - allowanceMillis);
    }
}
