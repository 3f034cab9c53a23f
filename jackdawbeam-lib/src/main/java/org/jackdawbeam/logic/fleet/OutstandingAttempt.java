package org.jackdawbeam.logic.fleet;

import java.util.OptionalLong;

/**
 * An attempt that was sent to a target and has not ended.
 *
 * @param prefillTokens prompt tokens that the target has to process, without those that it has probably cached
 * @param queuedAheadTokens prompt tokens of other requests that it was expected to process first
 * @param estimateMillis expected time to the first byte
 * @param late whether it was sent behind the requests of all priorities, as it would miss its objective or can wait
 * @param answering whether the answer has begun
 * @param running requests that were running at the target when it was sent
 * @param outputTokens number of tokens that its answer is expected to have
 * @param firstByteAtMillis when the body of the answer began
 */
public record OutstandingAttempt(
        long sentAtMillis,
        long prefillTokens,
        long queuedAheadTokens,
        long estimateMillis,
        boolean late,
        boolean answering,
        int running,
        long outputTokens,
        OptionalLong firstByteAtMillis) {

    OutstandingAttempt withAnswerBegun() {
        return changed(firstByteAtMillis);
    }

    /** Returns the attempt after the first bytes of the body have arrived. */
    OutstandingAttempt withFirstByte(long nowMillis) {
        return changed(OptionalLong.of(nowMillis));
    }

    private OutstandingAttempt changed(OptionalLong firstByte) {
        return new OutstandingAttempt(
                sentAtMillis,
                prefillTokens,
                queuedAheadTokens,
                estimateMillis,
                late,
                true,
                running,
                outputTokens,
                firstByte);
    }

    /** Returns by how much the answer is overdue: twice the estimate and the allowance are tolerated. */
    long overdueMillis(long nowMillis, long allowanceMillis) {
        return answering || late ? 0 : Math.max(0, nowMillis - sentAtMillis - 2 * estimateMillis - allowanceMillis);
    }
}
