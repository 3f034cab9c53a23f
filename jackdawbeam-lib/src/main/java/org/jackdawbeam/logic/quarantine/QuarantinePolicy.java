package org.jackdawbeam.logic.quarantine;

import org.jackdawbeam.model.fleet.QuarantineScope;

/**
 * How much evidence a quarantine takes, and how long it lasts.
 *
 * @param requiredRequests number of different requests under which engines must have been lost
 * @param successiveLosses whether losses count only if the later request was sent after the earlier loss
 * @param clearanceMillis how long an answer clears in advance, so that what is in constant use is not suspected
 * @param firstTrialMillis time until the first trial
 */
record QuarantinePolicy(int requiredRequests, boolean successiveLosses, long clearanceMillis, long firstTrialMillis) {
    private static final QuarantinePolicy PROMPT_PARTS = new QuarantinePolicy(
            2, // one request proves nothing about parts that it shares
            true, // many requests with a popular part are lost together in an outage
            1_000, 30_000); // several restarts of an engine

    private static final QuarantinePolicy REQUESTS = new QuarantinePolicy(
            1, false, // copies of one request are rarely at several engines, unless it crashes them and is sent again
            10_000, // the same request is not answered as often as one with the same part
            600_000); // a single request is missed by one caller, and each trial may end an engine

    static QuarantinePolicy of(QuarantineScope scope) {
        return switch (scope) {
            case PROMPT_PARTS -> PROMPT_PARTS;
            case REQUESTS -> REQUESTS;
        };
    }
}
