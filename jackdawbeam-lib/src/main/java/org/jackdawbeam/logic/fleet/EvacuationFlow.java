package org.jackdawbeam.logic.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.jackdawbeam.logic.evacuation.Evacuations;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;

/** Applies the evacuations of availability zones that the operator has written to the store. */
final class EvacuationFlow {
    /** Time after the return of a store from an older copy within which the operator writes its records again. */
    private static final long REWRITE_MILLIS = 5_000;

    private EvacuationFlow() {}

    /**
     * Applies the evacuations of a read of the configuration.
     *
     * @param before state before the read, which tells as of when the known evacuations were complete
     */
    static FleetState onRead(FleetState before, FleetState after, FleetEvent.FeedRead read, List<FleetEffect> effects) {
        if (read.feed() != Feed.CONFIGURATION) {
            return after;
        }
        OptionalLong completeAt = before.feed(Feed.CONFIGURATION).freshAtMillis();
        FleetState next = after;
        Set<String> listed = new HashSet<>();
        for (FeedEntry entry : read.entries()) {
            if (entry instanceof FeedEntry.ZoneEvacuated evacuated) {
                listed.add(evacuated.zone());
                next = start(next, evacuated.zone(), completeAt, read.nowMillis(), effects);
            } else if (entry instanceof FeedEntry.ZoneEvacuationEnded ended) {
                next = end(next, ended.zone(), "taken back", read.nowMillis(), effects);
            }
        }
        if (!read.newest() || next.evacuations().isEmpty()) {
            return next;
        }
        boolean restored = next.storeEra().sinceMillis() != Long.MIN_VALUE;
        long endsAt = restored
                ? Math.max(read.nowMillis(), next.storeEra().sinceMillis() + REWRITE_MILLIS)
                : read.nowMillis();
        return tick(next.with(next.evacuations().withUnlistedEnding(listed, endsAt)), read.nowMillis(), effects);
    }

    static FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (String zone : state.evacuations().overdue(nowMillis)) {
            next = end(next, zone, "no longer listed", nowMillis, effects);
        }
        return next;
    }

    /**
     * Returns which targets of the request's service may get the request, as far as evacuations are concerned.
     *
     * @param engine whether only targets that hold the model can serve the request
     */
    static Predicate<FleetTarget> admitting(FleetState state, FleetRequest request, boolean engine, long nowMillis) {
        Evacuations evacuations = state.evacuations();
        if (evacuations.isEmpty()) {
            return target -> true;
        }
        boolean servedElsewhere = state.targets().values().stream()
                .anyMatch(target -> canServe(target, request, engine, nowMillis)
                        && !evacuations.contains(target.description().zone()));
        return target -> evacuations.admits(target.description().zone(), servedElsewhere, nowMillis);
    }

    private static boolean canServe(FleetTarget target, FleetRequest request, boolean engine, long nowMillis) {
        boolean holdsModel = !engine || target.holds(request.call().model().orElseThrow(), Optional.empty());
        return target.description().service().equals(request.service())
                && !target.isLeaving()
                && !target.isPaused(nowMillis)
                && !request.tried().contains(target.description().id())
                && holdsModel;
    }

    /** Returns the time until which an attempt at the target may be sent, as far as evacuations are concerned. */
    static long sendUntilMillis(FleetState state, FleetTarget target, long nowMillis) {
        return state.evacuations()
                .sendUntilMillis(
                        target.description().zone(),
                        state.feed(Feed.CONFIGURATION).freshAtMillis(),
                        state.bounds().evacuateMillis(),
                        nowMillis);
    }

    /** Returns whether the target stands in an evacuated zone, so that nothing may be placed on it. */
    static boolean isEvacuated(FleetState state, FleetTarget target) {
        return state.evacuations().contains(target.description().zone());
    }

    private static FleetState start(
            FleetState state, String zone, OptionalLong completeAt, long nowMillis, List<FleetEffect> effects) {
        Evacuations started =
                state.evacuations().withListed(zone, completeAt, state.bounds().evacuateMillis(), nowMillis);
        if (!state.evacuations().contains(zone)) {
            long inForceAt = started.byZone().get(zone).inForceAtMillis();
            effects.add(FleetEffect.Note.of(
                    "zone_evacuation_started",
                    "zone",
                    zone,
                    "targets",
                    countTargets(state, zone),
                    "in_force_in_ms",
                    inForceAt - nowMillis));
        }
        return state.with(started);
    }

    private static FleetState end(
            FleetState state, String zone, String reason, long nowMillis, List<FleetEffect> effects) {
        if (!state.evacuations().contains(zone)) {
            return state;
        }
        effects.add(FleetEffect.Note.of(
                "zone_evacuation_ended", "zone", zone, "targets", countTargets(state, zone), "reason", reason));
        return WarmUpFlow.onZoneReturned(state.with(state.evacuations().without(zone)), zone, nowMillis, effects);
    }

    private static long countTargets(FleetState state, String zone) {
        return state.targets().values().stream()
                .filter(target -> target.description().zone().equals(zone))
                .count();
    }
}
