package org.jackdawbeam.logic.fleet;

import java.util.Optional;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.Route;
import org.pcollections.PSet;

/**
 * A caller's request.
 *
 * @param workspace name of the workspace; empty on open routes
 * @param units what it costs of the workspace's rate
 * @param priority rank, 0 is the highest
 * @param expiresAtMillis when the caller's deadline or the route's timeout passes, whichever is first
 * @param attempts number of attempts so far
 * @param executions attempts that may have been executed
 * @param tried targets that have failed it
 * @param callerLeft whether nobody waits for the answer
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
                true,
                phase);
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
