package org.jackdawbeam.logic.fleet;

import java.util.Optional;
import java.util.function.Consumer;
import org.jackdawbeam.logic.cost.UrgencyMix;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.Route;
import org.pcollections.PSet;

/**
 * A request of a caller and its progress.
 *
 * @param workspace name of the workspace; empty on open routes
 * @param units quota units that it takes from its workspace
 * @param priority priority, 0 is the highest
 * @param expiresAtMillis when the caller's deadline or the route's timeout passes, whichever is first
 * @param attempts number of attempts started so far
 * @param arrived whether an attempt has reached a target, as far as that is known
 * @param executions number of attempts that targets may have executed
 * @param tried targets at which an attempt has failed
 * @param answerStarted whether the head of an answer has been relayed, which a later attempt can only continue
 * @param callerLeft whether the caller has closed its connection
 */
public record FleetRequest(
        long id,
        CallerRequest call,
        Route route,
        String service,
        Optional<String> workspace,
        double units,
        int priority,
        long arrivedAtMillis,
        long expiresAtMillis,
        int attempts,
        boolean arrived,
        int executions,
        PSet<String> tried,
        boolean answerStarted,
        boolean callerLeft,
        RequestPhase phase) {

    FleetRequest withPhase(RequestPhase next) {
        return changed(builder -> builder.phase = next);
    }

    FleetRequest withoutCaller() {
        return changed(builder -> builder.callerLeft = true);
    }

    /** Returns the request after the head of an answer has been relayed. */
    FleetRequest withAnswerStarted(RequestPhase.Running running) {
        return changed(builder -> {
            builder.answerStarted = true;
            builder.phase = running;
        });
    }

    /** Returns the request after an attempt has been started. */
    FleetRequest withAttempt(RequestPhase.Running running) {
        return changed(builder -> {
            builder.attempts++;
            builder.phase = running;
        });
    }

    /** Returns the request after an attempt has reached its target. */
    FleetRequest withArrival() {
        return changed(builder -> builder.arrived = true);
    }

    /** Returns the request after an attempt has failed. */
    FleetRequest withFailedAttempt(String target, boolean mayHaveRun) {
        return changed(builder -> {
            builder.executions += mayHaveRun ? 1 : 0;
            builder.tried = tried.plus(target);
        });
    }

    RequestTraits traits() {
        return RequestTraits.of(call, Optional.of(route), workspace);
    }

    /** Returns whether no target can have executed the request. */
    boolean hasNotRun() {
        return executions == 0;
    }

    /** Returns the priority as far as engines distinguish it. */
    int enginePriority() {
        return Math.clamp(priority, 0, UrgencyMix.LOWEST_PRIORITY);
    }

    private FleetRequest changed(Consumer<Builder> change) {
        Builder builder = new Builder(this);
        change.accept(builder);
        return new FleetRequest(
                id,
                call,
                route,
                service,
                workspace,
                units,
                priority,
                arrivedAtMillis,
                expiresAtMillis,
                builder.attempts,
                builder.arrived,
                builder.executions,
                builder.tried,
                builder.answerStarted,
                builder.callerLeft,
                builder.phase);
    }

    /** Mutable components of a request that change, used to build a changed copy. */
    private static final class Builder {
        private int attempts;
        private boolean arrived;
        private int executions;
        private PSet<String> tried;
        private boolean answerStarted;
        private boolean callerLeft;
        private RequestPhase phase;

        Builder(FleetRequest source) {
            attempts = source.attempts;
            arrived = source.arrived;
            executions = source.executions;
            tried = source.tried;
            answerStarted = source.answerStarted;
            callerLeft = source.callerLeft;
            phase = source.phase;
        }
    }
}
