package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The targets of a request's service that may get requests, now or soon.
 *
 * @param available targets that are not leaving and whose zone is not evacuated
 * @param usable available targets that accept requests from this entry now
 * @param capable usable targets that hold the model and the adapter of the request
 */
record Candidates(
        FleetRequest request,
        boolean engine,
        List<FleetTarget> available,
        List<FleetTarget> usable,
        List<FleetTarget> capable) {

    static Candidates of(FleetState state, FleetRequest request, long nowMillis) {
        boolean engine = request.call().model().isPresent()
                && state.configuration()
                        .flatMap(known -> known.engine(request.service()))
                        .isPresent();
        List<FleetTarget> available = state.targets().values().stream()
                .filter(target -> target.description().service().equals(request.service()))
                .filter(target -> !target.isLeaving())
                .filter(EvacuationFlow.admitting(state, request, engine, nowMillis))
                .map(target -> TargetLimitGate.accrue(state, target, nowMillis))
                .toList();
        List<FleetTarget> usable = available.stream()
                .filter(target -> !target.isPaused(nowMillis) && TargetLimitGate.admits(target))
                .toList();
        List<FleetTarget> capable = engine
                ? usable.stream()
                        .filter(target -> target.holds(
                                request.call().model().get(), request.call().adapter()))
                        .toList()
                : usable;
        return new Candidates(request, engine, available, usable, capable);
    }

    /** Returns when the first paused target accepts requests again, among those that hold the model. */
    OptionalLong pauseEndsAtMillis(long nowMillis) {
        return available.stream()
                .filter(target -> target.isPaused(nowMillis) && holdsModel(target))
                .mapToLong(target -> target.health().pausedUntilMillis())
                .min();
    }

    /** Returns the targets that hold the model and whose limit leaves nothing for this entry now. */
    List<FleetTarget> limited() {
        return available.stream()
                .filter(target -> !TargetLimitGate.admits(target) && holdsModel(target))
                .toList();
    }

    private boolean holdsModel(FleetTarget target) {
        return !engine || target.holds(request.call().model().orElseThrow(), Optional.empty());
    }
}
