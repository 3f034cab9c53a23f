package org.jackdawbeam.logic.entry;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.logic.configuration.KeyCredential;
import org.jackdawbeam.model.log.LogEntry;
import org.jackdawbeam.model.log.LogRecord;
import org.jackdawbeam.model.log.LogRecord.LoggedSnapshot;
import org.jackdawbeam.model.peer.PeerMessage;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.model.request.Call;
import org.jackdawbeam.model.request.StoredAnswer;
import org.jackdawbeam.model.target.EngineLoad;

/** An input of the reducer. Timestamps are milliseconds of the monotonic clock of this entry. */
public sealed interface Event {

    /** Returns the time of the event. */
    long nowMillis();

    /** An event that the entry has scheduled for itself. */
    sealed interface Timer extends Event {

        /** Returns a copy of the event with the time of its delivery. */
        Timer firedAt(long firedAtMillis);
    }

    /** Periodic tick. */
    record Ticked(long nowMillis) implements Event {}

    /**
     * The log answered a read request.
     *
     * @param askedAtMillis time at which the request was sent
     * @param entries entries in log order; they may begin after the requested offset if older ones have expired
     * @param headOffset offset of the next record to be appended, at the time of the answer
     */
    record LogRead(long nowMillis, long askedAtMillis, List<LogEntry> entries, long headOffset) implements Event {}

    /** A read of the log failed. */
    record LogReadFailed(long nowMillis, long askedAtMillis) implements Event {}

    /**
     * An append request has ended. If it was not accepted, the records may nevertheless be in the log.
     *
     * @param accepted whether the log confirmed the records
     */
    record AppendEnded(long nowMillis, List<String> recordIds, boolean accepted) implements Event {}

    /** A message from a peer arrived. */
    record PeerReceived(long nowMillis, PeerMessage message) implements Event {}

    /** An engine reported its load. */
    record LoadReported(long nowMillis, String target, long askedAtMillis, EngineLoad load) implements Event {}

    /** An engine did not report its load. */
    record LoadUnavailable(long nowMillis, String target) implements Event {}

    /** An engine announced changes of its prefix cache. Announcements are delayed and incomplete. */
    record CacheAnnounced(long nowMillis, String target, List<Long> added, List<Long> dropped) implements Event {}

    /**
     * The platform's host list was read.
     *
     * @param askedAtMillis time at which the request was sent
     */
    record HostListRead(long nowMillis, long askedAtMillis, Set<String> leavingTargets) implements Event {}

    /** A caller sent a request. */
    record RequestArrived(long nowMillis, long requestId, Optional<KeyCredential> credential, Call call)
            implements Event {}

    /** The caller of a request disconnected. */
    record CallerLeft(long nowMillis, long requestId) implements Event {}

    /** The first byte of an attempt was passed to a connection. */
    record AttemptWritten(long nowMillis, AttemptId attempt) implements Event {}

    /** The first token or byte of an answer arrived. */
    record AttemptAnswering(long nowMillis, AttemptId attempt) implements Event {}

    /**
     * An attempt ended with a complete answer.
     *
     * @param generatedTokens number of generated tokens; negative if the answer does not consist of tokens
     * @param slowGapShare fraction of inter-token gaps that were too long; negative if unknown
     * @param answer answer to be stored for replay; empty if it is not to be stored
     */
    record AttemptCompleted(
            long nowMillis, AttemptId attempt, long generatedTokens, double slowGapShare, Optional<StoredAnswer> answer)
            implements Event {}

    /**
     * An attempt failed.
     *
     * @param mayHaveRun whether the target may have executed the request
     * @param relayedTokens number of tokens that the caller has received so far
     */
    record AttemptFailed(
            long nowMillis, AttemptId attempt, AttemptFailure failure, boolean mayHaveRun, long relayedTokens)
            implements Event {}

    /** The backoff of a request has elapsed and it may be retried. */
    record BackoffEnded(long nowMillis, long requestId) implements Timer {
        @Override
        public Timer firedAt(long firedAtMillis) {
            return new BackoffEnded(firedAtMillis, requestId);
        }
    }

    /** A request that waits for tokens is due for another check of its balance. */
    record BorrowRoundDue(long nowMillis, long requestId) implements Timer {
        @Override
        public Timer firedAt(long firedAtMillis) {
            return new BorrowRoundDue(firedAtMillis, requestId);
        }
    }

    /** The claimant is due to be asked again for the outcome that a request waits for. */
    record OutcomeDue(long nowMillis, long requestId) implements Timer {
        @Override
        public Timer firedAt(long firedAtMillis) {
            return new OutcomeDue(firedAtMillis, requestId);
        }
    }

    /** A request has waited too long for its claim to be read back. */
    record ClaimTimedOut(long nowMillis, long requestId) implements Timer {
        @Override
        public Timer firedAt(long firedAtMillis) {
            return new ClaimTimedOut(firedAtMillis, requestId);
        }
    }

    /** A request has waited too long for a target or for the answer of another request. */
    record WaitTimedOut(long nowMillis, long requestId) implements Timer {
        @Override
        public Timer firedAt(long firedAtMillis) {
            return new WaitTimedOut(firedAtMillis, requestId);
        }
    }

    /** An order to an engine was answered, or failed without an answer. */
    record OrderAnswered(long nowMillis, String target, long sequence, OrderOutcome outcome, String engineRun)
            implements Event {}

    /** An operator requested a change. */
    record OperatorRequested(long nowMillis, long operationId, LogRecord record) implements Event {}

    /** A snapshot of the folded state was received. */
    record SnapshotReceived(long nowMillis, LoggedSnapshot snapshot) implements Event {}

    /** The process was requested to stop. */
    record StopRequested(long nowMillis) implements Event {}
}
