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
    private static final int REQUESTS_WITH_A_PART = 2; // one request proves nothing about parts that it shares
    private static final long PART_CLEARANCE_MILLIS = 1_000; // parts in use are answered many times a second
    private static final long FIRST_TRIAL_OF_PARTS_MILLIS = 30_000; // several restarts of an engine
    private static final long REQUEST_CLEARANCE_MILLIS = 10_000; // one request is repeated less often than its parts
    /** A quarantined request is missed by one caller, and each trial may end an engine. */
    private static final long FIRST_TRIAL_OF_A_REQUEST_MILLIS = 600_000;

    private static final QuarantinePolicy PROMPT_PARTS =
            new QuarantinePolicy(REQUESTS_WITH_A_PART, true, PART_CLEARANCE_MILLIS, FIRST_TRIAL_OF_PARTS_MILLIS);

    /** Losses at the same moment count, as copies of one request are rarely at several engines by chance. */
    private static final QuarantinePolicy REQUESTS =
            new QuarantinePolicy(1, false, REQUEST_CLEARANCE_MILLIS, FIRST_TRIAL_OF_A_REQUEST_MILLIS);

    static QuarantinePolicy of(QuarantineScope scope) {
        return switch (scope) {
            case PROMPT_PARTS -> PROMPT_PARTS;
            case REQUESTS -> REQUESTS;
        };
    }
}
