package org.jackdawbeam.logic.fleet;

import java.util.Optional;
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
        int executions,
        PSet<String> tried,
        boolean answerStarted,
        boolean callerLeft,
        RequestPhase phase) {

    FleetRequest withPhase(RequestPhase next) {
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
                attempts,
                executions,
                tried,
                answerStarted,
                callerLeft,
                next);
    }

    FleetRequest withoutCaller() {
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
                attempts,
                executions,
                tried,
                answerStarted,
                true,
                phase);
    }

    /** Returns the request after the head of an answer has been relayed. */
    FleetRequest withAnswerStarted(RequestPhase.Running running) {
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
                attempts,
                executions,
                tried,
                true,
                callerLeft,
                running);
    }

    /** Returns the request after an attempt has been started. */
    FleetRequest withAttempt(RequestPhase.Running running) {
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
                attempts + 1,
                executions,
                tried,
                answerStarted,
                callerLeft,
                running);
    }

    /** Returns the request after an attempt has failed. */
    FleetRequest withFailedAttempt(String target, boolean mayHaveRun) {
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
                attempts,
                executions + (mayHaveRun ? 1 : 0),
                tried.plus(target),
                answerStarted,
                callerLeft,
                phase);
    }

    RequestTraits traits() {
        return RequestTraits.of(call, Optional.of(route), workspace);
    }

    /** Returns whether no target can have executed the request. */
    boolean hasNotRun() {
        return executions == 0;
    }
}
