package org.jackdawbeam.logic.fleet;

import java.util.Optional;
import java.util.OptionalLong;
import org.jackdawbeam.logic.rate.ColdTime;
import org.jackdawbeam.logic.rate.RequestBucket;
import org.jackdawbeam.logic.rate.RequestLimit;
import org.jackdawbeam.logic.rate.SharedRate;

/**
 * Decides which requests this entry may send to targets that accept only some requests from all entries together, as
 * they state a limit or are cold. Where both apply, a request needs both permissions.
 */
final class TargetLimitGate {
    private TargetLimitGate() {}

    /** Returns the target with the requests that have accrued, and without a cold time that does not bind. */
    static FleetTarget accrue(FleetState state, FleetTarget target, long nowMillis) {
        if (target.limit().isEmpty() && target.cold().isEmpty()) {
            return target;
        }
        Optional<RequestLimit> limit = target.limit()
                .map(known -> known.withBucket(
                        known.bucket().accrued(ownPart(state, target, known.rate(), nowMillis), nowMillis)));
        Optional<ColdTime> cold = target.cold()
                .flatMap(known -> WarmUpFlow.rate(state, target)
                        .map(rate -> known.withBucket(
                                known.bucket().accrued(ownPart(state, target, rate, nowMillis), nowMillis))));
        return target.withLimit(limit).withCold(cold);
    }

    /** Returns whether a request may be sent to the target, whose requests have accrued. */
    static boolean admits(FleetTarget target) {
        return target.limit().map(limit -> limit.bucket().admits()).orElse(true)
                && target.cold().map(cold -> cold.bucket().admits()).orElse(true);
    }

    /** Returns the target after a request was sent to it. */
    static FleetTarget spend(FleetTarget target) {
        return target.withLimit(target.limit()
                        .map(limit -> limit.withBucket(limit.bucket().spent())))
                .withCold(
                        target.cold().map(cold -> cold.withBucket(cold.bucket().spent())));
    }

    /** Returns when this entry may send the next request to the target; empty if only other entries may. */
    static OptionalLong admittedAtMillis(FleetState state, FleetTarget target, long nowMillis) {
        OptionalLong byLimit = target.limit()
                .map(limit -> nextAtMillis(limit.bucket(), ownPart(state, target, limit.rate(), nowMillis), nowMillis))
                .orElse(OptionalLong.of(nowMillis));
        OptionalLong byCold = WarmUpFlow.rate(state, target)
                .map(rate -> untilWarm(target.cold().orElseThrow(), ownPart(state, target, rate, nowMillis), nowMillis))
                .orElse(OptionalLong.of(nowMillis));
        return byLimit.isEmpty() || byCold.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(byLimit.getAsLong(), byCold.getAsLong()));
    }

    private static OptionalLong untilWarm(ColdTime cold, double part, long nowMillis) {
        long next = nextAtMillis(cold.bucket(), part, nowMillis).orElse(ColdTime.UNKNOWN_END);
        long first = Math.min(next, cold.untilMillis());
        return first == ColdTime.UNKNOWN_END ? OptionalLong.empty() : OptionalLong.of(first);
    }

    private static OptionalLong nextAtMillis(RequestBucket bucket, double part, long nowMillis) {
        return part == 0 ? OptionalLong.empty() : OptionalLong.of(nowMillis + bucket.millisUntilAdmitted(part));
    }

    private static double ownPart(FleetState state, FleetTarget target, SharedRate rate, long nowMillis) {
        return rate.part(
                state.memberCount(),
                QuotaFlow.reachableShare(state, nowMillis),
                QuotaFlow.ownRank(state, target.description().id(), nowMillis));
    }
}
