package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.logic.rate.ColdTime;
import org.jackdawbeam.logic.rate.SharedRate;
import org.jackdawbeam.model.fleet.ColdTolerance;
import org.jackdawbeam.model.fleet.ServiceDefinition;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.fleet.WarmUp;

/** Keeps track of targets that are cold, by the list or because they may have started again. */
final class WarmUpFlow {
    /** Time in which a request must leave for a target that may be cold by the time a connection is established. */
    private static final long SEND_MILLIS = 250;

    /**
     * Updates the cold time of a target that is listed. A description that was written earlier and is read again does
     * not start it anew.
     *
     * @param previous what was known of the target before
     * @param listed the target with its latest description
     */
    static FleetTarget onListed(
            FleetState state,
            Optional<FleetTarget> previous,
            FleetTarget listed,
            TargetDescription latest,
            long nowMillis,
            List<FleetEffect> effects) {
        boolean sameStart = previous.isPresent()
                && previous.get().description().startedAtMillis() == latest.startedAtMillis()
                && previous.get().description().address().equals(latest.address());
        long before = sameStart ? previous.get().description().coldMillis() : 0;
        if (latest.coldMillis() > before) {
            note(state, listed, "listed", latest.coldMillis(), effects);
            return listed.withCold(Optional.of(ColdTime.listed(nowMillis + latest.coldMillis(), nowMillis)));
        }
        // The target was cold for no longer than that after it wrote the description.
        boolean shorter = latest.coldMillis() < before;
        return listed.withCold(listed.cold()
                .map(cold -> shorter && cold.source() == ColdTime.Source.LISTED
                        ? cold.withUntil(Math.min(cold.untilMillis(), nowMillis + latest.coldMillis()))
                        : cold));
    }

    /**
     * Takes the targets of a zone to be cold that is used again after a time without requests. They may have become
     * cold meanwhile, and the list says so only with their next entry.
     */
    static FleetState onZoneReturned(FleetState state, String zone, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetTarget target : state.targets().values()) {
            Optional<WarmUp> warmUp = warmUp(state, target).filter(known -> isProtected(state, target));
            if (warmUp.isEmpty() || !target.description().zone().equals(zone)) {
                continue;
            }
            long until = Math.max(
                    nowMillis + warmUp.get().coldMillis(), nowMillis + remainingMillis(state, target, nowMillis));
            note(state, target, "zone_returned", until - nowMillis, effects);
            next = next.with(target.withCold(Optional.of(ColdTime.zoneReturned(until, nowMillis))));
        }
        return next;
    }

    /** Records that a connection to the target failed or was lost, after which it may have started again. */
    static FleetTarget onUnreachable(FleetState state, FleetTarget target, long nowMillis, List<FleetEffect> effects) {
        boolean coldAnyway = target.cold()
                .filter(cold -> cold.untilMillis() == ColdTime.UNKNOWN_END
                        || cold.source() != ColdTime.Source.SUSPECTED && !cold.isOver(nowMillis))
                .isPresent();
        if (coldAnyway || !isProtected(state, target)) {
            return target;
        }
        Optional<ColdTime> suspected = target.cold().filter(cold -> !cold.isOver(nowMillis));
        if (suspected.isEmpty()) {
            note(state, target, "connection_lost", -1, effects);
        }
        return target.withCold(Optional.of(
                suspected.map(cold -> cold.withUntil(ColdTime.UNKNOWN_END)).orElseGet(() -> ColdTime.lost(nowMillis))));
    }

    /** Records an answer: a target that was unreachable may have started just before it. */
    static FleetTarget onAnswer(FleetState state, FleetTarget target, long nowMillis) {
        return target.withCold(target.cold()
                .map(cold -> cold.untilMillis() != ColdTime.UNKNOWN_END
                        ? cold
                        : cold.withUntil(warmUp(state, target)
                                .map(known -> nowMillis + known.coldMillis())
                                .orElse(nowMillis))));
    }

    /** Removes cold times that are over. */
    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetTarget target : state.targets().values()) {
            if (target.cold().filter(cold -> cold.isOver(nowMillis)).isPresent()) {
                next = next.with(target.withCold(Optional.empty()));
                if (isProtected(state, target)) {
                    effects.add(FleetEffect.Note.of(
                            "target_warm", "target", target.description().id()));
                }
            }
        }
        return next;
    }

    /** Returns the rate that all entries share, if the target is cold. */
    static Optional<SharedRate> rate(FleetState state, FleetTarget target) {
        return target.cold()
                .flatMap(cold -> tolerance(state, target)
                        .map(tolerance -> cold.rate(warmUp(state, target).orElseThrow(), tolerance)));
    }

    /** Returns how long the target is known to stay cold, zero if it is warm. */
    static long remainingMillis(FleetState state, FleetTarget target, long nowMillis) {
        return target.cold()
                .filter(cold -> cold.source() != ColdTime.Source.SUSPECTED)
                .filter(cold -> isProtected(state, target))
                .map(cold -> Math.max(0, cold.untilMillis() - nowMillis))
                .orElse(0L);
    }

    /** Returns until when a request may leave; the target may start again while a connection is awaited. */
    static long sendUntilMillis(FleetState state, FleetTarget target, long nowMillis) {
        return isProtected(state, target) ? nowMillis + SEND_MILLIS : Long.MAX_VALUE;
    }

    private static boolean isProtected(FleetState state, FleetTarget target) {
        return tolerance(state, target).isPresent();
    }

    private static Optional<ColdTolerance> tolerance(FleetState state, FleetTarget target) {
        return warmUp(state, target).flatMap(warmUp -> state.bounds().coldTolerance());
    }

    private static Optional<WarmUp> warmUp(FleetState state, FleetTarget target) {
        return state.configuration()
                .flatMap(known -> Optional.ofNullable(
                        known.services().get(target.description().service())))
                .flatMap(ServiceDefinition::warmUp);
    }

    private static void note(
            FleetState state, FleetTarget target, String reason, long coldMillis, List<FleetEffect> effects) {
        if (isProtected(state, target)) {
            effects.add(FleetEffect.Note.of(
                    "target_cold", "target", target.description().id(), "reason", reason, "cold_ms", coldMillis));
        }
    }
}
