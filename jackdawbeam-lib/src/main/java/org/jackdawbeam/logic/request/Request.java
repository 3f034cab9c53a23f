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
 * @param deadlineMillis time after which no other try is made
 * @param keyId key that came with it; empty on routes open to all
 * @param workspace workspace that is charged; empty on routes open to all
 * @param work what to do
 * @param phase what it waits for
 * @param attempts number of tries so far
 * @param written whether a byte of it was written to any target
 * @param relayedTokens tokens that the caller has received
 * @param claimId record id of the claim that it holds
 * @param callerLeft whether the caller has disconnected
 * @param failedTargets targets where a try failed
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

    /** Returns whether the attempt is the one in flight. */
    public boolean isRunning(AttemptId attempt) {
        return phase instanceof Phase.Running running && running.attempt().equals(attempt);
    }

    /** Returns whether the workspace has been charged for it. */
    public boolean isCharged() {
        boolean unpaid = phase instanceof Phase.Borrowing || phase instanceof Phase.AwaitingAnswer;
        return workspace.isPresent() && !unpaid;
    }

    /** Returns the request in another phase. */
    public Request withPhase(Phase next) {
        return copy(next, attempts, written, relayedTokens, claimId, callerLeft, failedTargets);
    }

    /** Returns the request with one more try at the given target. */
    public Request dispatchedTo(String target) {
        int number = attempts + 1;
        Phase running = new Phase.Running(new AttemptId(id, number), target);
        return copy(running, number, written, relayedTokens, claimId, callerLeft, failedTargets);
    }

    /** Returns the request after a byte of it was written to a target. */
    public Request withWritten() {
        return copy(phase, attempts, true, relayedTokens, claimId, callerLeft, failedTargets);
    }

    /** Returns the request after a try failed. */
    public Request failedAt(String target, boolean mayHaveRun, long relayed) {
        PSet<String> failed = failedTargets.plus(target);
        boolean nowWritten = written || mayHaveRun;
        return copy(phase, attempts, nowWritten, relayed, claimId, callerLeft, failed);
    }

    /** Returns the request without its memory of targets where it failed. */
    public Request withoutFailedTargets() {
        return copy(phase, attempts, written, relayedTokens, claimId, callerLeft, HashTreePSet.empty());
    }

    /** Returns the request as holder of a claim. */
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
