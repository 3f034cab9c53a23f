package org.jackdawbeam.logic.entry;

import org.jackdawbeam.model.settings.EntryTimings;

/**
 * Handles a planned stop. The entry is no longer advertised to callers, serves requests that still arrive, and leaves
 * the membership once it is idle.
 */
final class StopFlow {
    private static final long LEAVE_TIMEOUT_MILLIS = 3_000;

    private final EntryOptions options;

    StopFlow(EntryOptions options) {
        this.options = options;
    }

    Transition onRequest(EntryState state, Event.StopRequested event) {
        if (!state.isServing()) {
            return Transition.to(state);
        }
        return Transition.to(state.withStop(new StopPhase.Draining(event.nowMillis())));
    }

    Transition tick(EntryState state, long nowMillis) {
        return switch (state.stop()) {
            case StopPhase.Serving serving -> Transition.to(state);
            case StopPhase.Draining draining -> leaveIfIdle(state, draining, nowMillis);
            case StopPhase.Leaving leaving -> exitIfLeft(state, leaving, nowMillis);
        };
    }

    /**
     * Leaves once the entry is idle, but only after peers have learned of the stop and the entry lists cached by
     * callers have expired.
     */
    private Transition leaveIfIdle(EntryState state, StopPhase.Draining draining, long nowMillis) {
        EntryTimings timings = options.timings();
        long advertisedUntil =
                draining.sinceMillis() + timings.entriesMaximumAgeMillis() + 2 * timings.heartbeatMillis();
        boolean idle = state.requests().byId().isEmpty();
        boolean done = nowMillis >= advertisedUntil && idle;
        return Transition.to(done ? state.withStop(new StopPhase.Leaving(nowMillis)) : state);
    }

    private static Transition exitIfLeft(EntryState state, StopPhase.Leaving leaving, long nowMillis) {
        boolean left = !state.membership().isMember();
        boolean timedOut = nowMillis >= leaving.sinceMillis() + LEAVE_TIMEOUT_MILLIS;
        Transition next = Transition.to(state);
        return left || timedOut ? next.with(new Effect.Exit()) : next;
    }
}
