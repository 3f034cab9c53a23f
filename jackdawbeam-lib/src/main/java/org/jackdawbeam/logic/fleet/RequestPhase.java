package org.jackdawbeam.logic.fleet;

import org.jackdawbeam.model.request.AttemptId;

/** Where a request stands. */
public sealed interface RequestPhase {

    /**
     * Waits for units of its workspace.
     *
     * @param round how many entries have been asked before
     */
    record AwaitingQuota(int round, long askedAtMillis) implements RequestPhase {}

    /** Waits until its workspace has accrued enough units. */
    record AwaitingUnits(long retryAtMillis) implements RequestPhase {}

    /** Waits for an engine that holds its model and adapter. */
    record AwaitingReplica(long sinceMillis, long requestedAtMillis) implements RequestPhase {}

    /**
     * Is at a target.
     *
     * @param answered whether the head of the answer has been passed on
     */
    record Running(AttemptId attempt, String target, boolean answered) implements RequestPhase {}
}
