package org.jackdawbeam.model.log;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.bundle.KeySpecification;
import org.jackdawbeam.model.member.Epoch;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.request.StoredAnswer;

/**
 * A record of the platform's append-only log. Records are idempotent: applying a record twice has the same effect as
 * applying it once, so that an append may be repeated if its response was lost.
 */
public sealed interface LogRecord {

    /** Returns the id by which the writer recognises its own record. */
    String recordId();

    /**
     * A signed bundle. Takes effect only if {@code basedOn} is the active version.
     *
     * @param version the new version, {@code basedOn + 1}
     * @param document the bundle as JSON, exactly as it was signed
     * @param signature Base64 of the Ed25519 signature of version and document
     */
    record BundleRolled(String recordId, long basedOn, long version, String document, String signature)
            implements LogRecord {}

    /** Adds a workspace key. Has no effect if a key with the same id has been withdrawn before. */
    record KeyGiven(String recordId, KeySpecification key) implements LogRecord {}

    /** Withdraws a key id permanently. */
    record KeyWithdrawn(String recordId, String keyId) implements LogRecord {}

    /** Proposes a membership epoch. Takes effect only if its number follows that of the current epoch. */
    record EpochProposed(String recordId, Epoch epoch) implements LogRecord {}

    /**
     * Claims the execution of a request with an idempotency key. The first open claim in the log wins.
     *
     * @param scope workspace and idempotency key
     * @param digest SHA-256 of the request, which prevents reuse of the key for a different request
     * @param claimant the process run that may execute the request
     */
    record ClaimMade(String recordId, String scope, String digest, Member claimant) implements LogRecord {}

    /**
     * Ends the claim with record id {@code claimId}.
     *
     * @param answer response that is replayed to repeated requests; empty if the claimant gave up before a target
     *     received the request
     */
    record ClaimEnded(String recordId, String scope, String claimId, Optional<StoredAnswer> answer)
            implements LogRecord {}

    /**
     * An order to an engine. Its offset in the log is its fencing number; an order without items only raises the
     * fencing number. Takes effect only if {@code sequence} follows that of the previous order to the engine.
     *
     * @param maximumLifeMillis time after which the order must not be executed any more, in milliseconds
     */
    record OrderIntended(
            String recordId, String target, long sequence, List<OrderItem> items, Member issuer, long maximumLifeMillis)
            implements LogRecord {}

    /**
     * Records the confirmed end of an order.
     *
     * @param done whether the engine executed the order
     * @param engineRun identity of the engine process that responded
     * @param fromReport whether the outcome was not confirmed by a response, so that only the load reports of the
     *     engine tell what is resident
     */
    record OrderResolved(
            String recordId, String target, long sequence, boolean done, String engineRun, boolean fromReport)
            implements LogRecord {}

    /** Confirms that former members no longer use any share that they lost in epochs up to {@code number}. */
    record EpochSettled(String recordId, long number) implements LogRecord {}

    /** Confirmation by an operator that the given process runs are stopped, so that their shares may be reassigned. */
    record MembersForgotten(String recordId, List<Member> members) implements LogRecord {}

    /**
     * Snapshot of the state after all records before {@code coveredOffset}.
     *
     * @param snapshot the state
     */
    record SnapshotTaken(String recordId, long coveredOffset, LoggedSnapshot snapshot) implements LogRecord {}

    /** Serializable form of the replicated state, used for snapshots in the log and between peers. */
    record LoggedSnapshot(
            long nextOffset,
            long logTimeMillis,
            Optional<BundleRolled> bundle,
            List<KeySpecification> givenKeys,
            List<String> withdrawnKeyIds,
            List<Epoch> epochs,
            long settledEpoch,
            List<Member> forgotten,
            List<LoggedClaim> claims,
            List<LoggedOrder> orders,
            List<LoggedResidency> residencies) {}

    /**
     * A claim and its outcome.
     *
     * @param ended whether the claimant has ended it
     * @param answer stored response; empty if the claim is open or was released
     * @param givenBackIds record ids of released claims on the same scope, which a repeated append must not reopen
     */
    record LoggedClaim(
            ClaimMade claim,
            long claimedAtMillis,
            boolean ended,
            Optional<StoredAnswer> answer,
            List<String> givenBackIds) {

        /** Returns whether the claim was released, so that a new claim may be made. */
        public boolean wasReleased() {
            return ended && answer.isEmpty();
        }
    }

    /** The latest order to one engine. */
    record LoggedOrder(OrderIntended order, long offset, long loggedAtMillis, boolean resolved) {}

    /**
     * Effect of resolved orders on one engine process.
     *
     * @param items models and adapters that were loaded and not unloaded again
     * @param unloaded names that were unloaded and not loaded again
     */
    record LoggedResidency(String target, String engineRun, List<OrderItem> items, List<String> unloaded) {}
}
