package org.jackdawbeam.logic.fleet;

import org.jackdawbeam.model.request.AttemptId;

/** Phase of a request between its arrival and its end. */
public sealed interface RequestPhase {

    /**
     * Waits for another entry to grant quota units of its workspace.
     *
     * @param round number of entries that were asked before
     */
    record AwaitingQuota(int round, long askedAtMillis) implements RequestPhase {}

    /** Waits until its workspace has accrued enough quota units. */
    record AwaitingUnits(long retryAtMillis) implements RequestPhase {}

    /** Waits for a target that accepts requests and, for an engine, holds its model and adapter. */
    record AwaitingReplica(long sinceMillis, long requestedAtMillis) implements RequestPhase {}

    /**
     * Has been sent to a target.
     *
     * @param answered whether the head of the answer has been relayed to the caller
     * @param streaming whether the target has begun to write the body of its answer
     */
    record Running(AttemptId attempt, String target, boolean answered, boolean streaming) implements RequestPhase {
        Running withStreaming() {
            return new Running(attempt, target, answered, true);
        }
    }
}
