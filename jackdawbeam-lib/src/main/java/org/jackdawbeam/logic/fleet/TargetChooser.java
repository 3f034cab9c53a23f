package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.logic.cost.Place;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;
import org.jackdawbeam.model.fleet.PromptPart;
import org.jackdawbeam.model.fleet.TargetLoad;

/** Chooses the target with the shortest expected time to the first byte. */
final class TargetChooser {
    private static final double DECODING_STEP_MILLIS = 10; // a decoding step delays the first token of a new request
    private static final double BATCH_MILLIS_PER_REQUEST = 0.5; // added to a step by each running request
    private static final double SERVICE_CALL_MILLIS = 80; // typical duration of a call to a plain service
    private static final double OTHER_ZONE_MILLIS = 6; // two zone crossings and the cost of their traffic
    private static final double FAILURE_MILLIS = 1_500; // delay that a failed attempt costs a caller
    private static final long OVERDUE_ALLOWANCE_MILLIS = 250;
    /** Age of the load sums: a change passes through two hubs on its way to an entry of another zone. */
    private static final double WORK_SUM_AGE_SECONDS = 0.1;

    private static final long MAX_SPREAD_MILLIS = 400; // well below the objectives of routes
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L; // spreads similar hash values
    private static final double AVOIDED_MILLIS = 10_000; // longer than any queue, so that other targets are preferred

    /**
     * A candidate target with its estimates.
     *
     * @param prefillTokens prompt tokens of the request that it has to process
     * @param queuedAheadTokens prompt tokens of other requests that it has to process first
     * @param ownPrefillMillis part of the estimate for the prefill of the request's own prompt
     * @param estimateMillis expected time to the first byte
     * @param lateEstimateMillis the same at the lowest priority, behind other requests
     * @param penaltyMillis added to the estimate when targets are compared
     * @param running requests that run at the target
     * @param outputMillis expected time from the first to the last byte of the answer; 0 if unknown
     */
    record Choice(
            FleetTarget target,
            long prefillTokens,
            long queuedAheadTokens,
            long ownPrefillMillis,
            long estimateMillis,
            long lateEstimateMillis,
            long penaltyMillis,
            int running,
            long outputMillis) {
        private long rank() {
            return estimateMillis + penaltyMillis;
        }
    }

    private TargetChooser() {}

    /** Returns the best of the given targets for the request; targets that have failed it come last. */
    static Optional<Choice> best(
            FleetState state, FleetRequest request, List<FleetTarget> candidates, boolean engine, long nowMillis) {
        long spread = spreadMillis(state, request, candidates.size(), nowMillis);
        return candidates.stream()
                .map(target -> estimate(state, request, target, engine, nowMillis))
                .min(Comparator.comparingLong(choice -> choice.rank() + jitter(request, choice, spread)));
    }

    static Choice estimate(FleetState state, FleetRequest request, FleetTarget target, boolean engine, long nowMillis) {
        String id = target.description().id();
        long peersPrefillTokens = 0;
        int running = target.outstanding().size();
        long timeoutMillis = FleetTimings.peerTimeoutMillis(state.memberCount());
        for (FleetPeer peer : state.peers().values()) {
            TargetWork work = peer.workByTarget().get(id);
            if (work != null && peer.isAlive(nowMillis, timeoutMillis)) {
                peersPrefillTokens += work.unreadTokens();
                running += work.running();
            }
        }
        TargetWork fleetWork = state.hub().fleetWork().get(id);
        if (fleetWork != null) {
            // The sums of the hub include the work that this entry has reported to it.
            peersPrefillTokens += Math.max(0, fleetWork.unreadTokens() - target.pendingPrefillTokens());
            running += Math.max(0, fleetWork.running() - target.outstanding().size());
        }
        long prefillTokens = engine ? uncachedTokens(request, target) : 0;
        long queuedAheadTokens = engine ? target.pendingPrefillTokens() + peersPrefillTokens : 0;
        Place place = new Place(request.service(), request.call().model().orElse(""), id);
        double pace = engine ? state.costs().factor(place, nowMillis) : 1;
        double estimate = pace
                * (engine
                        ? state.prefillStatistics(request.service()).prefillMillis(prefillTokens + queuedAheadTokens)
                                + decodingMillis(running)
                        : serviceMillis(target, running));
        estimate += target.description().zone().equals(state.self().zone()) ? 0 : OTHER_ZONE_MILLIS;
        estimate += overdueMillis(target, nowMillis);
        boolean avoided = target.health().avoidedUntilMillis() > nowMillis;
        estimate += avoided && target.health().consecutiveFailures() > 1 ? AVOIDED_MILLIS : 0;
        // Not part of the estimate: if admission refused requests because of failures, the share would never decrease.
        double penalty = target.health().failureShare() * FAILURE_MILLIS;
        penalty += avoided || request.tried().contains(id) ? AVOIDED_MILLIS : 0;
        // Others are preferred to a cold target while they serve in time.
        penalty += target.cold().isPresent() ? inTimeMillis(request, nowMillis) : 0;
        // The other entries send late requests too, but do not report them.
        double latePrefillTokens = engine ? target.latePendingPrefillTokens() * (double) state.memberCount() : 0;
        double lateEstimate =
                estimate + pace * state.prefillStatistics(request.service()).prefillMillis(latePrefillTokens);
        long outputTokens = engine ? request.call().expectedOutputTokens() : 0;
        double outputMillis =
                outputTokens * decodingMillis(running) * pace * state.costs().outputShare(request.service(), nowMillis);
        double overrun = nowMillis + estimate + outputMillis - request.expiresAtMillis();
        penalty += Math.clamp(overrun, 0, AVOIDED_MILLIS);
        double ownMillis = state.prefillStatistics(request.service()).prefillMillis(prefillTokens);
        return new Choice(
                target,
                prefillTokens,
                queuedAheadTokens,
                Math.round(ownMillis),
                Math.round(estimate),
                Math.round(lateEstimate),
                Math.round(penalty),
                running,
                Math.round(outputMillis));
    }

    /** Returns the delay of a request's first token by the decoding of the requests that run beside it. */
    static double decodingMillis(int running) {
        return DECODING_STEP_MILLIS + running * BATCH_MILLIS_PER_REQUEST;
    }

    /** Returns the engine on which to load the adapter: the same one for every request while loads are similar. */
    static Optional<String> engineForAdapter(
            FleetState state, FleetRequest request, List<FleetTarget> usable, long nowMillis) {
        String model = request.call().model().orElseThrow();
        String adapter = request.call().adapter().orElseThrow();
        int slots = state.configuration()
                .flatMap(known -> known.engine(request.service()))
                .map(EngineDefinition::adapterPlaces)
                .orElse(0);
        return usable.stream()
                .filter(target -> target.holds(model, Optional.empty()))
                .min(Comparator.comparingLong(target -> {
                    int held = target.adapters().values().stream()
                            .mapToInt(Set::size)
                            .sum();
                    long fullPenalty = held < slots ? 0 : 20;
                    long preference = Math.floorMod((target.description().id() + adapter).hashCode(), 16);
                    return estimate(state, request, target, true, nowMillis).estimateMillis()
                            + fullPenalty
                            + preference;
                }))
                .map(target -> target.description().id());
    }

    /** Returns a hash for each prefix of a prompt, used as its key in the prefix index. */
    static List<Long> prefixHashes(FleetRequest request) {
        List<Long> hashes = new ArrayList<>();
        long hash = (request.call().model().orElse("") + "/"
                        + request.call().adapter().orElse(""))
                .hashCode();
        for (PromptPart part : request.call().prompt()) {
            hash = hash * 0x9E3779B97F4A7C15L + part.id();
            hashes.add(hash);
        }
        return hashes;
    }

    /**
     * Returns the range of the jitter that keeps entries with the same outdated sums from all choosing the same target:
     * the time that a replica needs to process the prompts that the fleet sends to it while the sums age.
     */
    private static long spreadMillis(FleetState state, FleetRequest request, int replicas, long nowMillis) {
        Optional<String> model = request.call().model();
        if (FleetTimings.isFullMesh(state.memberCount()) || model.isEmpty() || replicas == 0) {
            return 0;
        }
        double ownTokensPerSecond =
                state.demand().at(nowMillis).getOrDefault(new DemandKey(request.service(), model.get()).text(), 0.0);
        double tokens = ownTokensPerSecond * state.memberCount() / replicas * WORK_SUM_AGE_SECONDS;
        return Math.min(
                MAX_SPREAD_MILLIS,
                Math.round(state.prefillStatistics(request.service()).prefillMillis(tokens)));
    }

    private static long jitter(FleetRequest request, Choice choice, long spreadMillis) {
        int hash = (request.call().callerRequestId()
                        + choice.target().description().id())
                .hashCode();
        return spreadMillis == 0 ? 0 : Math.floorMod(hash * HASH_MULTIPLIER, spreadMillis);
    }

    private static long uncachedTokens(FleetRequest request, FleetTarget target) {
        int cached = target.prefixes().matchingBlocks(prefixHashes(request));
        long tokens = request.call().inputTokens();
        for (int part = 0; part < cached; part++) {
            tokens -= request.call().prompt().get(part).tokens();
        }
        return Math.max(0, tokens);
    }

    private static double serviceMillis(FleetTarget target, int running) {
        int slots = Math.max(1, target.description().slots());
        int waiting = target.load().map(TargetLoad::waiting).orElse(0);
        return SERVICE_CALL_MILLIS * (1 + (double) (running + waiting) / slots);
    }

    private static long inTimeMillis(FleetRequest request, long nowMillis) {
        return Math.max(0, request.arrivedAtMillis() + request.route().objectiveMillis() - nowMillis);
    }

    private static double overdueMillis(FleetTarget target, long nowMillis) {
        return target.outstanding().values().stream()
                .mapToLong(attempt -> attempt.overdueMillis(nowMillis, OVERDUE_ALLOWANCE_MILLIS))
                .max()
                .orElse(0);
    }
}
