package org.jackdawbeam.logic.fleet;

/**
 * A request that was sent to a target and has not ended.
 *
 * @param prefillTokens prompt tokens that the target has to read, without what it probably holds in its cache
 * @param queuedAheadTokens prompt tokens of other requests that it was expected to read before
 * @param estimateMillis expected time to the first byte
 * @param late whether it goes behind all requests that can be in time
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

    /** Returns by how much the answer is later than expected. */
    long overdueMillis(long nowMillis, long allowanceMillis) {
        return answering || late ? 0 : Math.max(0, nowMillis - sentAtMillis - 2 * estimateMillis - allowanceMillis);
    }
}
