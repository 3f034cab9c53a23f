package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.QuarantineReport;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.request.AttemptId;

/** Side effects requested by the fleet reducer. */
public sealed interface FleetEffect {

    /**
     * Reads a feed of the store.
     *
     * @param fromOffset first offset to read; empty for the newest entry of each key
     * @param waitMillis how long the store may wait for new entries (long poll)
     */
    record ReadFeed(Feed feed, OptionalLong fromOffset, long waitMillis) implements FleetEffect {}

    /** Registers this member in the store. */
    record Announce(FleetMember member) implements FleetEffect {}

    /** Removes the registration of a member from the store. */
    record Withdraw(String memberId) implements FleetEffect {}

    /** Appends a record with the leader's incarnation to the leadership log if the log ends at the offset. */
    record AppendLeadership(String holder, long atOffset) implements FleetEffect {}

    /** Reads the leadership log from an offset. */
    record ReadLeadership(long fromOffset) implements FleetEffect {}

    /** Writes a quarantined group of prompt parts or a request to the store, or removes a released one. */
    record StoreQuarantine(QuarantinedGroup group, QuarantineReport.QuarantinedParts parts) implements FleetEffect {}

    /** Sends a message to another entry. */
    record SendPeerMessage(String address, FleetMessage message) implements FleetEffect {}

    /**
     * Sends a request to a target.
     *
     * @param expiresAtMillis the caller's deadline
     * @param sendUntilMillis latest time to send; after it the key may have been withdrawn, or the target have left
     * @param workspace name of the workspace, sent to the target
     * @param priority priority at the target
     * @param resumable whether only complete events may be relayed
     * @param estimateMillis expected time to the first byte
     * @param prefillTokens prompt tokens that the target is expected to process for the request
     * @param queuedAheadTokens prompt tokens of other requests that it is expected to process first
     * @param traits request properties for the log
     */
    record StartAttempt(
            AttemptId attempt,
            String callerRequestId,
            TargetDescription target,
            long expiresAtMillis,
            long sendUntilMillis,
            Optional<String> workspace,
            int priority,
            boolean resumable,
            long estimateMillis,
            long prefillTokens,
            long queuedAheadTokens,
            RequestTraits traits)
            implements FleetEffect {}

    /** Relays the answer of an attempt to the caller, starting with its head. */
    record RelayAnswer(AttemptId attempt) implements FleetEffect {}

    /** Cancels an attempt and closes its connection. */
    record CancelAttempt(AttemptId attempt) implements FleetEffect {}

    /** Refuses a request. */
    record RefuseRequest(long requestId, String callerRequestId, Refusal refusal, String reason, RequestTraits traits)
            implements FleetEffect {}

    /** Aborts an answer in progress so that the caller can tell that it is incomplete. */
    record BreakAnswer(long requestId, String callerRequestId, String reason) implements FleetEffect {}

    /** Releases a request whose caller has disconnected. */
    record ForgetRequest(long requestId, String callerRequestId) implements FleetEffect {}

    /** Schedules a {@link FleetEvent.Woken} event after a delay. */
    record WakeAfter(long delayMillis) implements FleetEffect {}

    /**
     * Sends an order to an engine.
     *
     * @param startedAtMillis Unix time of the engine's start that the order is meant for
     * @param heldModels models that the engine holds or is loading, as known to this entry
     * @param heldAdapters number of adapter slots that are occupied, as known to this entry
     */
    record SendOrder(EngineOrder order, long startedAtMillis, Set<String> heldModels, int heldAdapters)
            implements FleetEffect {}

    /** Reads the state report of an engine. */
    record ReadReport(String target, String address) implements FleetEffect {}

    /** Closes idle connections to a removed target. */
    record ForgetTarget(String address) implements FleetEffect {}

    /** Closes the listening sockets. */
    record StopListening() implements FleetEffect {}

    /** Exits the process. */
    record Exit() implements FleetEffect {}

    /**
     * Writes a state change to the log.
     *
     * @param fields alternating keys and values
     */
    record Note(String event, List<String> fields) implements FleetEffect {
        static Note of(String event, Object... fields) {
            return new Note(event, Arrays.stream(fields).map(String::valueOf).toList());
        }

        /** Returns a log line about a request, including the fields logged for every request. */
        static Note of(String event, FleetRequest request, Object... fields) {
            List<String> all = new ArrayList<>(List.of(
                    "request", request.call().callerRequestId(), "request_number", Long.toString(request.id())));
            all.addAll(request.traits().fields());
            Arrays.stream(fields).map(String::valueOf).forEach(all::add);
            return new Note(event, List.copyOf(all));
        }
    }
}
