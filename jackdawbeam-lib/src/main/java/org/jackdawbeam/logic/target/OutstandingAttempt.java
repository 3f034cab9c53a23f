package org.jackdawbeam.logic.target;

/**
 * An attempt that is in flight at a target.
 *
 * @param sentAtMillis when it was dispatched
 * @param prefillTokens estimated prompt tokens that the target has to compute
 * @param estimateMillis estimated time to the first token when it was dispatched
 * @param answering whether the first token has arrived
 */
public record OutstandingAttempt(long sentAtMillis, double prefillTokens, double estimateMillis, boolean answering) {

    OutstandingAttempt withAnswering() {
        return new OutstandingAttempt(sentAtMillis, prefillTokens, estimateMillis, true);
    }
}
