package org.jackdawbeam.logic.fleet;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides which requests this entry may send to targets that limit the requests of all entries together. A few entries,
 * the first in rendezvous order for the target, may send; each has an equal part of the limit and may send one request
 * at once. The fewer requests a target accepts, the fewer entries there are, so that those single requests stay small
 * against what the target tolerates, and the parts stay large enough to be used.
 */
final class TargetLimitGate {
    private static final int MIN_SENDERS = 3; // single requests at once that every target tolerates
    private static final double SENDERS_PER_REQUEST_SECOND = 2;
    /** Lowest rate of all entries together. Without requests nobody would learn that a limit has ended. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.25;

    private TargetLimitGate() {}

    /** Returns the target with the requests that have accrued, if it has a limit. */
    static FleetTarget accrue(FleetState state, FleetTarget target, long nowMillis) {
        Optional<RequestLimit> accrued =
                target.limit().map(limit -> limit.accrued(ownRate(state, target, limit, nowMillis), nowMillis));
        return accrued.isEmpty() ? target : target.withLimit(accrued);
    }

    /** Returns whether a request may be sent to the target, whose requests have accrued. */
    static boolean admits(FleetTarget target) {
        return target.limit().map(RequestLimit::admits).orElse(true);
    }

    /** Returns when this entry may send the next request to the target; empty if only other entries may. */
    static OptionalLong admittedAtMillis(FleetState state, FleetTarget target, long nowMillis) {
        double rate = ownRate(state, target, target.limit().orElseThrow(), nowMillis);
        return rate == 0
                ? OptionalLong.empty()
                : OptionalLong.of(nowMillis + target.limit().get().millisUntilAdmitted(rate));
    }

    private static double ownRate(FleetState state, FleetTarget target, RequestLimit limit, long nowMillis) {
        double reachableShare = QuotaFlow.reachableShare(state, nowMillis);
        double limited = Math.max(MIN_REQUESTS_PER_SECOND, limit.requestsPerSecond());
        double allowedSenders = MIN_SENDERS + SENDERS_PER_REQUEST_SECOND * limit.requestsPerSecond();
        // Parts of a fleet that do not hear each other choose senders of their own, so each chooses fewer.
        int senders = (int) Math.max(1, Math.min(state.memberCount(), allowedSenders) * reachableShare);
        boolean sends = QuotaFlow.ownRank(state, target.description().id(), nowMillis) < senders;
        return sends ? limited * reachableShare / senders : 0;
    }
}
