package org.jackdawbeam.logic.target;

/**
 * An attempt that is in flight at a target.
 *
 * @param sentAtMillis time of dispatch
 * @param prefillTokens estimated prompt tokens that the target must prefill
 * @param estimateMillis time to first token as estimated at dispatch, in milliseconds
 * @param answering whether the first token has arrived
 */
public record OutstandingAttempt(long sentAtMillis, double prefillTokens, double estimateMillis, boolean answering) {

    OutstandingAttempt withAnswering() {
        return new OutstandingAttempt(sentAtMillis, prefillTokens, estimateMillis, true);
    }
}
