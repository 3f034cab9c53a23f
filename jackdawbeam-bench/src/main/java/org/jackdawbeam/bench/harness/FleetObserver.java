package org.jackdawbeam.bench.harness;

import java.util.Optional;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.logic.request.Request;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.model.request.StoredAnswer;

/** Observes a fleet from the point of view of its callers and targets. */
public interface FleetObserver {

    /** A node started an attempt at a target. */
    default void onAttempt(Node node, Request request, AttemptId attempt, String target) {}

    /** The first token of an answer was generated. */
    default void onFirstToken(Node node, long requestId) {}

    /** A token was generated the given time after the previous one. */
    default void onGap(Node node, long requestId, double millis) {}

    /** A caller received a complete answer. */
    default void onCompleted(Node node, AttemptId attempt) {}

    /** A caller received a refusal. */
    default void onRefused(Node node, long requestId, Refusal refusal) {}

    /** A caller received the stored answer of an earlier request with the same idempotency key. */
    default void onReplayed(Node node, long requestId, StoredAnswer answer) {}

    /** A node applied an event. */
    default void onTransition(Node node, EntryState before, EntryState after) {}

    /** Returns the answer that a plain service gives to an attempt. */
    default Optional<StoredAnswer> answer(AttemptId attempt) {
        return Optional.of(new StoredAnswer(200, "text/plain", "b2s="));
    }
}
