package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.OrderResponse;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.fleet.TargetStatement;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;

/**
 * Input events of the fleet reducer. Times are milliseconds of a clock that keeps running while the host is suspended.
 */
public sealed interface FleetEvent {

    /** Returns when the event happened. */
    long nowMillis();

    /** Periodic timer tick. */
    record Ticked(long nowMillis) implements FleetEvent {}

    /** The delay of a {@link FleetEffect.WakeAfter} has passed. */
    record Woken(long nowMillis) implements FleetEvent {}

    /**
     * An answer of the store stated its era. Delivered before the content of that answer.
     *
     * @param era increases each time the store is restored from an older backup
     */
    record StoreEraSeen(long nowMillis, long era) implements FleetEvent {}

    /**
     * The store answered a read of a feed.
     *
     * @param askedAtMillis when the read was sent
     * @param newest whether the entries are the newest of each key; otherwise they are the changes since the last read
     * @param nextOffset offset of the next read
     */
    record FeedRead(
            long nowMillis, Feed feed, long askedAtMillis, boolean newest, List<FeedEntry> entries, long nextOffset)
            implements FleetEvent {}

    /**
     * A read of a feed failed.
     *
     * @param historyGone whether the requested records have been deleted
     */
    record FeedFailed(long nowMillis, Feed feed, boolean historyGone) implements FleetEvent {}

    /** An attempt to register this member in the store ended, successfully or not. */
    record AnnouncementEnded(long nowMillis, boolean accepted) implements FleetEvent {}

    /** An append to the leadership log ended. */
    record LeadershipAppended(long nowMillis, long askedAtMillis, AppendResult result) implements FleetEvent {}

    /**
     * The leadership log was read.
     *
     * @param holders member incarnations that wrote the records from the requested offset on, in order
     */
    record LeadershipRead(long nowMillis, long fromOffset, List<String> holders, long endOffset)
            implements FleetEvent {}

    /** The leadership log could not be read. */
    record LeadershipUnreadable(long nowMillis) implements FleetEvent {}

    /** Result of a conditional append. */
    sealed interface AppendResult {
        /** The record was written at the offset. */
        record Appended(long offset) implements AppendResult {}

        /** Another member appended first; the log ends at the offset. */
        record Conflict(long endOffset) implements AppendResult {}

        /** No usable answer; the record may have been written or may still be written later. */
        record Unknown() implements AppendResult {}
    }

    /** A write of a quarantined group to the store ended. */
    record QuarantineStored(long nowMillis, QuarantinedGroup group, boolean accepted) implements FleetEvent {}

    /** An operator asked to release a quarantined group of prompt parts or a request. */
    record ReleaseRequested(long nowMillis, QuarantinedGroup group) implements FleetEvent {}

    /** A message from another entry arrived. */
    record PeerReceived(long nowMillis, FleetMessage message) implements FleetEvent {}

    /** A caller's request has been read completely. */
    record RequestArrived(long nowMillis, long requestId, CallerRequest request) implements FleetEvent {}

    /** The caller of a request disconnected. */
    record CallerLeft(long nowMillis, long requestId) implements FleetEvent {}

    /**
     * The head of an answer arrived.
     *
     * @param notExecuted whether the target states that it did not execute the request
     * @param sameType whether its body has the media type of the answer that has been started, if one has
     * @param statement load and lifecycle information that the target sent along
     */
    record AttemptAnswered(
            long nowMillis,
            AttemptId attempt,
            int status,
            boolean notExecuted,
            boolean sameType,
            TargetStatement statement)
            implements FleetEvent {}

    /** The first bytes of an answer's body arrived. */
    record AttemptStreaming(long nowMillis, AttemptId attempt) implements FleetEvent {}

    /**
     * An answer is complete.
     *
     * @param longestPauseMillis longest time between two parts of its body as they arrived; 0 with fewer than two
     */
    record AttemptCompleted(long nowMillis, AttemptId attempt, long longestPauseMillis) implements FleetEvent {}

    /** The end of a complete answer waits in this process, because its caller reads slowly. */
    record AnswerBuffered(long nowMillis, long requestId) implements FleetEvent {}

    /** The end of a buffered answer has been written to the caller's connection, or the connection has closed. */
    record AnswerWritten(long nowMillis, long requestId) implements FleetEvent {}

    /**
     * An attempt failed.
     *
     * @param written whether any byte of the request was written to a connection
     */
    record AttemptFailed(long nowMillis, AttemptId attempt, AttemptFailure failure, boolean written)
            implements FleetEvent {}

    /** An order to an engine ended, with or without an answer. */
    record OrderAnswered(long nowMillis, EngineOrder order, OrderResponse response) implements FleetEvent {}

    /** A report of an engine was read; empty if the read failed. */
    record ReportRead(long nowMillis, String target, Optional<TargetReport> report) implements FleetEvent {}

    /** The configured bounds have changed. */
    record BoundsChanged(long nowMillis, FleetBounds bounds) implements FleetEvent {}

    /** The process was requested to stop. */
    record StopRequested(long nowMillis) implements FleetEvent {}
}
