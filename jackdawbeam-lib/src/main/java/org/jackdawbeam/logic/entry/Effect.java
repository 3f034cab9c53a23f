package org.jackdawbeam.logic.entry;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.logic.request.Work;
import org.jackdawbeam.model.bundle.TargetSpecification;
import org.jackdawbeam.model.log.LogRecord;
import org.jackdawbeam.model.log.LogRecord.OrderIntended;
import org.jackdawbeam.model.operator.OperatorAnswer;
import org.jackdawbeam.model.peer.PeerMessage;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.model.request.StoredAnswer;

/** A side effect requested by the reducer, described as data. */
public sealed interface Effect {

    /** Reads the log from the given offset. */
    record ReadLog(long fromOffset) implements Effect {}

    /** Appends records to the log in one call. */
    record AppendRecords(List<LogRecord> records) implements Effect {}

    /** Sends a message to the peer at the given address. */
    record SendPeerMessage(String address, PeerMessage message) implements Effect {}

    /** Asks an engine for its load report and cache events. */
    record PollLoad(TargetSpecification target) implements Effect {}

    /** Reads the platform's host list. */
    record PollHostList() implements Effect {}

    /**
     * Sends a request to a target.
     *
     * @param workspace workspace id that is passed to the target, which treats it as opaque
     * @param resumeOffset number of tokens that the caller has already received
     */
    record StartAttempt(
            AttemptId attempt, TargetSpecification target, Work work, Optional<String> workspace, long resumeOffset)
            implements Effect {}

    /** Cancels an attempt whose caller has disconnected. */
    record CancelAttempt(AttemptId attempt) implements Effect {}

    /** Delivers the complete answer of the attempt to the caller. */
    record CompleteRequest(AttemptId attempt) implements Effect {}

    /** Refuses a request. If a response stream has already begun, the refusal is sent as its last event. */
    record RefuseRequest(long requestId, Refusal refusal) implements Effect {}

    /** Replays the stored answer of an earlier request with the same idempotency key. */
    record ReplayAnswer(long requestId, StoredAnswer answer) implements Effect {}

    /** Answers a request for the list of available models. */
    record AnswerModels(long requestId, List<String> models) implements Effect {}

    /**
     * Orders an engine to load or unload models or adapters.
     *
     * @param fencing fencing token, which is the offset of the order in the log
     * @param notAfterMillis expiry of the lease under which the order is sent; check it against the clock just before
     *     sending
     */
    record SendOrder(TargetSpecification target, OrderIntended order, long fencing, long notAfterMillis)
            implements Effect {}

    /** Schedules an event. Its timestamp is set to the time of delivery. */
    record Schedule(long delayMillis, Event.Timer timer) implements Effect {}

    /** Sends the result of an operation to the operator. */
    record AnswerOperator(long operationId, OperatorAnswer answer) implements Effect {}

    /** Terminates the process with exit code 0. */
    record Exit() implements Effect {}
}
