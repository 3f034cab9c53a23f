package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;
import org.jackdawbeam.model.fleet.PromptPart;
import org.jackdawbeam.model.fleet.TargetLoad;

/** Chooses the target from which the first byte of an answer is expected soonest. */
final class TargetChooser {
    private static final double DECODING_STEP_MILLIS = 10; // one decoding step delays the first token of a new request
    private static final double BATCH_MILLIS_PER_REQUEST = 0.5; // decoding work that each running request adds
    private static final double SERVICE_CALL_MILLIS = 80; // typical work of a call to a plain service
    private static final double OTHER_ZONE_MILLIS = 6; // two crossings of a zone border, and their price
    private static final double FAILURE_MILLIS = 1_500; // what a failed attempt costs a caller
    private static final long OVERDUE_ALLOWANCE_MILLIS = 250;
    private static final double WORK_SUM_AGE_SECONDS = 0.6; // two heartbeats between an entry and another zone's
    private static final long MAX_SPREAD_MILLIS = 400; // well below the objectives
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L; // spreads neighbouring hashes
    private static final double AVOIDED_MILLIS = 10_000; // more than any queue, so that others go first

    /**
     * A target and what is expected of it.
     *
     * @param prefillTokens prompt tokens that it has to read
     * @param queuedAheadTokens prompt tokens of other requests that it has to read before
     * @param ownPrefillMillis part of the estimate in which the target reads the request's own prompt
     * @param estimateMillis expected time to the first byte
     * @param lateEstimateMillis the same behind all requests that can still be in time
     * @param penaltyMillis how much longer than that another target may take and still be preferred
     */
    record Choice(
            FleetTarget target,
            long prefillTokens,
            long queuedAheadTokens,
            long ownPrefillMillis,
            long estimateMillis,
            long lateEstimateMillis,
            long penaltyMillis) {
        private long rank() {
            return estimateMillis + penaltyMillis;
        }
    }

    private TargetChooser() {}

    /** Returns the best of the given targets for the request, those that have failed it last. */
    static Optional<Choice> best(
            FleetState state, FleetRequest request, List<FleetTarget> candidates, boolean engine, long nowMillis) {
        long spread = spreadMillis(state, request, candidates.size(), nowMillis);
        return candidates.stream()
                .map(target -> estimate(state, request, target, engine, nowMillis))
                .min(Comparator.comparingLong(choice -> choice.rank() + jitter(request, choice, spread)));
    }

    static Choice estimate(FleetState state, FleetRequest request, FleetTarget target, boolean engine, long nowMillis) {
        String id = target.description().id();
        long peersUnread = 0;
        int running = target.outstanding().size();
        long silence = FleetTimings.peerTimeoutMillis(state.memberCount());
        for (FleetPeer peer : state.peers().values()) {
            TargetWork work = peer.workByTarget().get(id);
            if (work != null && peer.isAlive(nowMillis, silence)) {
                peersUnread += work.unreadTokens();
                running += work.running();
            }
        }
        TargetWork told = state.hub().fleetWork().get(id);
        if (told != null) {
            // The hub's sums include what this entry has told it.
            peersUnread += Math.max(0, told.unreadTokens() - target.pendingPrefillTokens());
            running += Math.max(0, told.running() - target.outstanding().size());
        }
        long unread = engine ? uncachedTokens(request, target) : 0;
        long ahead = engine ? target.pendingPrefillTokens() + peersUnread : 0;
        double millis = engine
                ? state.pace(request.service()).prefillMillis(unread + ahead) + decodingMillis(running)
                : serviceMillis(target, running);
        millis += target.description().zone().equals(state.self().zone()) ? 0 : OTHER_ZONE_MILLIS;
        millis += overdueMillis(target, nowMillis);
        boolean avoided = target.health().avoidedUntilMillis() > nowMillis;
        millis += avoided && target.health().consecutiveFailures() > 1 ? AVOIDED_MILLIS : 0;
        // Failures make others better, not the queue longer: without requests the share would never fall again.
        double penalty = target.health().failureShare() * FAILURE_MILLIS;
        penalty += avoided || request.tried().contains(id) ? AVOIDED_MILLIS : 0;
        // The other entries send late requests too, and do not tell of them.
        double behind = engine ? target.latePendingPrefillTokens() * (double) state.memberCount() : 0;
        double lateMillis = millis + state.pace(request.service()).prefillMillis(behind);
        double ownMillis = state.pace(request.service()).prefillMillis(unread);
        return new Choice(
                target,
                unread,
                ahead,
                Math.round(ownMillis),
                Math.round(millis),
                Math.round(lateMillis),
                Math.round(penalty));
    }

    /** Returns how long the first token of a request waits for the tokens of those that run beside it. */
    static double decodingMillis(int running) {
        return DECODING_STEP_MILLIS + running * BATCH_MILLIS_PER_REQUEST;
    }

    /** Returns the identifiers under which the leading parts of a prompt are remembered. */
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
     * Returns by how much choices are spread, to keep entries that know the same old sums from all choosing the same
     * target: the time that a replica needs to read what the fleet sends to it while the sums age.
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
                MAX_SPREAD_MILLIS, Math.round(state.pace(request.service()).prefillMillis(tokens)));
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

    private static double overdueMillis(FleetTarget target, long nowMillis) {
        return target.outstanding().values().stream()
                .mapToLong(work -> work.overdueMillis(nowMillis, OVERDUE_ALLOWANCE_MILLIS))
                .max()
                .orElse(0);
    }
}
