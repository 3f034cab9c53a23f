package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.request.AttemptId;

/** Everything that an entry of a fleet does to the outside, as data. */
public sealed interface FleetEffect {

    /**
     * Reads a feed of the store.
     *
     * @param fromOffset where to read on; empty for the newest entry of each key
     * @param waitMillis how long the store may wait for something new
     */
    record ReadFeed(Feed feed, OptionalLong fromOffset, long waitMillis) implements FleetEffect {}

    /** Announces this member to the others through the store. */
    record Announce(FleetMember member) implements FleetEffect {}

    /** Removes the announcement of a member. */
    record Withdraw(String memberId) implements FleetEffect {}

    /** Appends a record with the holder's name to the leadership log if it ends at the offset. */
    record AppendLeadership(String holder, long atOffset) implements FleetEffect {}

    /** Reads the leadership log from an offset. */
    record ReadLeadership(long fromOffset) implements FleetEffect {}

    /** Sends a message to another entry. */
    record SendPeerMessage(String address, FleetMessage message) implements FleetEffect {}

    /**
     * Sends a request to a target.
     *
     * @param expiresAtMillis when the caller's time is over
     * @param sendUntilMillis when the permission to send ends, because a withdrawn key would not have been seen
     * @param workspace name of the workspace, which the target is told
     * @param priority rank at the target
     * @param resumable whether only whole events may be passed on
     * @param estimateMillis expected time to the first byte
     * @param traits what is logged of the request
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
            RequestTraits traits)
            implements FleetEffect {}

    /** Passes the answer of an attempt on to the caller, from its head on. */
    record RelayAnswer(AttemptId attempt) implements FleetEffect {}

    /** Ends an attempt and closes its connection. */
    record CancelAttempt(AttemptId attempt) implements FleetEffect {}

    /** Answers a request negatively. */
    record RefuseRequest(long requestId, String callerRequestId, Refusal refusal, String reason, RequestTraits traits)
            implements FleetEffect {}

    /** Ends an answer that has begun so that the caller sees that it is not whole. */
    record BreakAnswer(long requestId, String callerRequestId, String reason) implements FleetEffect {}

    /** Forgets a request that nobody waits for. */
    record ForgetRequest(long requestId, String callerRequestId) implements FleetEffect {}

    /** Asks for a {@link FleetEvent.Woken} after a delay. */
    record WakeAfter(long delayMillis) implements FleetEffect {}

    /** Sends an order to an engine. */
    record SendOrder(EngineOrder order) implements FleetEffect {}

    /** Asks an engine for its state. */
    record ReadReport(String target, String address) implements FleetEffect {}

    /** Closes idle connections to a target that is gone. */
    record ForgetTarget(String address) implements FleetEffect {}

    /** Closes the listening sockets. */
    record StopListening() implements FleetEffect {}

    /** Ends the process. */
    record Exit() implements FleetEffect {}

    /**
     * Records what changed in what the entry believes.
     *
     * @param fields keys and values by turns
     */
    record Note(String event, List<String> fields) implements FleetEffect {
        static Note of(String event, Object... fields) {
            return new Note(event, Arrays.stream(fields).map(String::valueOf).toList());
        }

        /** Returns a line about a request, with what is logged of every request. */
        static Note of(String event, FleetRequest request, Object... fields) {
            List<String> all = new ArrayList<>(List.of(
                    "request", request.call().callerRequestId(), "request_number", Long.toString(request.id())));
            all.addAll(request.traits().fields());
            Arrays.stream(fields).map(String::valueOf).forEach(all::add);
            return new Note(event, List.copyOf(all));
        }
    }
}
