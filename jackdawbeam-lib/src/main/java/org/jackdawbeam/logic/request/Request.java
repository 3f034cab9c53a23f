package org.jackdawbeam.logic.request;

import java.util.Optional;
import org.jackdawbeam.model.request.AttemptId;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * A request in flight.
 *
 * @param id unique within the process
 * @param arrivedAtMillis time of arrival
 * @param deadlineMillis time after which no further attempt is made
 * @param keyId id of the key sent with the request; empty on public routes
 * @param workspace workspace that is charged; empty on public routes
 * @param work the resolved call
 * @param phase current processing phase
 * @param attempts number of attempts so far
 * @param written whether any byte of the request was written to a target
 * @param relayedTokens number of tokens relayed to the caller
 * @param claimId record id of the idempotency claim that the request holds
 * @param callerLeft whether the caller has disconnected
 * @param failedTargets targets where an attempt failed
 */
public record Request(
        long id,
        long arrivedAtMillis,
        long deadlineMillis,
        Optional<String> keyId,
        Optional<String> workspace,
        Work work,
        Phase phase,
        int attempts,
        boolean written,
        long relayedTokens,
        Optional<String> claimId,
        boolean callerLeft,
        PSet<String> failedTargets) {

    /** Returns a request that has just arrived. */
    public static Request arrived(
            long id, long nowMillis, long totalMillis, Optional<String> keyId, Optional<String> workspace, Work work) {
        return new Request(
                id,
                nowMillis,
                nowMillis + totalMillis,
                keyId,
                workspace,
                work,
                new Phase.Queued(),
                0,
                false,
                0,
                Optional.empty(),
                false,
                HashTreePSet.empty());
    }

    /** Returns whether the given attempt is in flight. */
    public boolean isRunning(AttemptId attempt) {
        return phase instanceof Phase.Running running && running.attempt().equals(attempt);
    }

    /** Returns whether the workspace has been charged for the request. */
    public boolean isCharged() {
        boolean unpaid = phase instanceof Phase.Borrowing || phase instanceof Phase.AwaitingAnswer;
        return workspace.isPresent() && !unpaid;
    }

    /** Returns the request in another phase. */
    public Request withPhase(Phase next) {
        return copy(next, attempts, written, relayedTokens, claimId, callerLeft, failedTargets);
    }

    /** Returns the request with another attempt at the given target. */
    public Request dispatchedTo(String target) {
        int number = attempts + 1;
        Phase running = new Phase.Running(new AttemptId(id, number), target);
        return copy(running, number, written, relayedTokens, claimId, callerLeft, failedTargets);
    }

    /** Returns the request after any byte of it was written to a target. */
    public Request withWritten() {
        return copy(phase, attempts, true, relayedTokens, claimId, callerLeft, failedTargets);
    }

    /** Returns the request after an attempt failed. */
    public Request failedAt(String target, boolean mayHaveRun, long relayed) {
        PSet<String> failed = failedTargets.plus(target);
        boolean nowWritten = written || mayHaveRun;
        return copy(phase, attempts, nowWritten, relayed, claimId, callerLeft, failed);
    }

    /** Returns the request with its set of failed targets cleared. */
    public Request withoutFailedTargets() {
        return copy(phase, attempts, written, relayedTokens, claimId, callerLeft, HashTreePSet.empty());
    }

    /** Returns the request holding the given idempotency claim. */
    public Request holdingClaim(String claim) {
        return copy(phase, attempts, written, relayedTokens, Optional.of(claim), callerLeft, failedTargets);
    }

    /** Returns the request after its caller has disconnected. */
    public Request withCallerDisconnected() {
        return copy(phase, attempts, written, relayedTokens, claimId, true, failedTargets);
    }

    private Request copy(
            Phase newPhase,
            int newAttempts,
            boolean newWritten,
            long newRelayed,
            Optional<String> newClaim,
            boolean newCallerLeft,
            PSet<String> newFailed) {
        return new Request(
                id,
                arrivedAtMillis,
                deadlineMillis,
                keyId,
                workspace,
                work,
                newPhase,
                newAttempts,
                newWritten,
                newRelayed,
                newClaim,
                newCallerLeft,
                newFailed);
    }
}
