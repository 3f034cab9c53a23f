package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.FleetMessage.Digest;
import org.jackdawbeam.model.fleet.FleetMessage.ModelDemand;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;
import org.jackdawbeam.model.fleet.QuarantineReport;

/** Exchanges heartbeats and load information with the other entries. */
final class PeerFlow {
    /** Longer than a restart takes, so that the quota share of a restarting member stays reserved. */
    private static final long LOST_AFTER_MILLIS = 12_000;

    private static final long FULL_QUARANTINE_INTERVAL_HEARTBEATS = 16; // about four seconds

    private final LeadershipFlow leadership;

    PeerFlow(LeadershipFlow leadership) {
        this.leadership = leadership;
    }

    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        int members = state.memberCount();
        if (!FleetTimings.isFullMesh(members)) {
            return state;
        }
        if (nowMillis - state.sent().digestAtMillis() >= FleetTimings.heartbeatMillis(members)) {
            return sendDigest(state, nowMillis, effects);
        }
        boolean noticeDue = nowMillis - state.sent().noticeAtMillis() >= FleetTimings.WORK_NOTICE_INTERVAL;
        return noticeDue ? sendWorkNotice(state, nowMillis, effects) : state;
    }

    /** Sends a heartbeat to all members immediately. */
    FleetState sendDigest(FleetState state, long nowMillis, List<FleetEffect> effects) {
        Digest digest = digest(state, nowMillis);
        removeLostMembers(state, nowMillis, effects);
        sendToAll(state, digest, effects);
        return state.with(new SentWork(nowMillis, nowMillis, digest.work(), state.targets()));
    }

    /** Sends the load added since the last message to all peers, so that they do not all choose the same target. */
    private static FleetState sendWorkNotice(FleetState state, long nowMillis, List<FleetEffect> effects) {
        List<TargetWork> work = work(state);
        if (work.equals(state.sent().work())) {
            return state;
        }
        sendToAll(state, new FleetMessage.WorkNotice(state.self().id(), work), effects);
        return state.with(new SentWork(state.sent().digestAtMillis(), nowMillis, work, state.targets()));
    }

    /** Returns this entry's rank by id among the entries that are alive and not leaving. */
    static long rank(FleetState state, long nowMillis) {
        long timeoutMillis = FleetTimings.peerTimeoutMillis(state.memberCount());
        long rank = 0;
        for (FleetPeer peer : state.peers().values()) {
            boolean counts = peer.isAlive(nowMillis, timeoutMillis) && !peer.leaving();
            rank += counts && peer.member().id().compareTo(state.self().id()) < 0 ? 1 : 0;
        }
        return rank;
    }

    static void sendToAll(FleetState state, FleetMessage message, List<FleetEffect> effects) {
        for (FleetPeer peer : state.peers().values()) {
            effects.add(new FleetEffect.SendPeerMessage(peer.member().peerAddress(), message));
        }
    }

    FleetState onWorkNotice(FleetState state, FleetMessage.WorkNotice notice) {
        FleetPeer peer = state.peers().get(notice.sender());
        return peer == null
                ? state
                : state.withPeers(state.peers().plus(notice.sender(), peer.withWork(notice.work())));
    }

    FleetState onDigest(FleetState state, long nowMillis, Digest digest, List<FleetEffect> effects) {
        if (digest.member().equals(state.self())) {
            return state;
        }
        FleetPeer known = state.peers().get(digest.sender());
        if (known == null && digest.leaving()) {
            return state;
        }
        boolean newIncarnation = known == null
                || known.isSilentSince(nowMillis - LOST_AFTER_MILLIS)
                || !known.member().incarnation().equals(digest.member().incarnation());
        FleetState next = state.withPeers(state.peers().plus(digest.sender(), FleetPeer.fromDigest(digest, nowMillis)));
        if (newIncarnation) {
            effects.add(FleetEffect.Note.of("peer_heard", "member", digest.sender()));
            effects.addAll(residencies(next, digest.member().peerAddress(), nowMillis));
            next = next.with(next.quarantine().touch(nowMillis))
                    .with(next.requestQuarantine().touch(nowMillis));
        }
        if (digest.leadership().isPresent()) {
            next = leadership.onClaim(next, nowMillis, digest.leadership().get(), effects);
        }
        return next;
    }

    /** Returns the messages that inform a new peer of limits and models, if this entry is the leader. */
    static List<FleetEffect> residencies(FleetState state, String address, long nowMillis) {
        if (!LeadershipFlow.isLeader(state, nowMillis)) {
            return List.of();
        }
        List<FleetEffect> messages = new ArrayList<>(TargetLimitFlow.notices(state, address));
        for (FleetTarget target : state.targets().values()) {
            messages.add(new FleetEffect.SendPeerMessage(address, residency(state, target)));
        }
        return messages;
    }

    static FleetMessage residency(FleetState state, FleetTarget target) {
        return new FleetMessage.Residency(
                state.self().id(),
                target.description().id(),
                target.description().startedAtMillis(),
                target.description().models(),
                target.adapters(),
                target.unloading());
    }

    /** The placement leader knows its engines from their reports; a message can only be a former leader's. */
    FleetState onResidency(FleetState state, FleetMessage.Residency residency, long nowMillis) {
        if (state.leadership().fencingToken().isPresent()) {
            return state;
        }
        FleetTarget target = state.targets().get(residency.target());
        boolean same = target != null && target.description().startedAtMillis() == residency.startedAtMillis();
        return same
                ? state.with(target.withResidency(
                        residency.models(), residency.adaptersByModel(), residency.unloading(), nowMillis))
                : state;
    }

    static boolean isReady(FleetState state, long nowMillis) {
        return state.stop() instanceof StopStage.Serving
                && state.configuration().isPresent()
                && FeedFlow.withdrawalsUpToDate(state, nowMillis);
    }

    /** Returns the total demand of the fleet by service and model. */
    static Map<DemandKey, ModelDemand> fleetDemand(FleetState state, long nowMillis) {
        if (!FleetTimings.isFullMesh(state.memberCount())) {
            return sumOfDemand(state.hub().fleetDemand());
        }
        Map<DemandKey, ModelDemand> sum = new HashMap<>();
        long timeoutMillis = FleetTimings.peerTimeoutMillis(state.memberCount());
        ownDemand(state, nowMillis).forEach(demand -> add(sum, demand));
        state.peers().values().stream()
                .filter(peer -> peer.isAlive(nowMillis, timeoutMillis))
                .flatMap(peer -> peer.demand().stream())
                .forEach(demand -> add(sum, demand));
        return sum;
    }

    /** Returns the open load that this entry has sent to each target. */
    static List<TargetWork> work(FleetState state) {
        Map<String, Set<String>> adapters = new HashMap<>();
        for (FleetRequest request : state.requests().values()) {
            if (request.phase() instanceof RequestPhase.Running running
                    && request.call().adapter().isPresent()) {
                adapters.computeIfAbsent(running.target(), target -> new HashSet<>())
                        .add(request.call().model().orElse("") + "/"
                                + request.call().adapter().get());
            }
        }
        return state.targets().values().stream()
                .filter(target -> !target.outstanding().isEmpty())
                .map(target -> new TargetWork(
                        target.description().id(),
                        target.outstanding().size(),
                        target.pendingPrefillTokens(),
                        adapters.getOrDefault(target.description().id(), Set.of())))
                .toList();
    }

    static Digest digest(FleetState state, long nowMillis) {
        return new Digest(
                state.self().id(),
                state.self(),
                nowMillis,
                isReady(state, nowMillis),
                !(state.stop() instanceof StopStage.Serving),
                LeadershipFlow.claim(state, nowMillis),
                work(state),
                ownDemand(state, nowMillis),
                quarantine(state, nowMillis));
    }

    /** Returns what to tell of the quarantine with a heartbeat: recent changes, and everything now and then. */
    static Optional<QuarantineReport> quarantine(FleetState state, long nowMillis) {
        long heartbeat = nowMillis / FleetTimings.heartbeatMillis(state.memberCount());
        boolean all = heartbeat % FULL_QUARANTINE_INTERVAL_HEARTBEATS == 0;
        QuarantineReport report = state.quarantine()
                .report(all, nowMillis)
                .withRequests(state.requestQuarantine().report(all, nowMillis));
        return report.equals(QuarantineReport.empty()) ? Optional.empty() : Optional.of(report);
    }

    /** Removes members that have been silent for long; a removed member that is alive announces itself again. */
    static void removeLostMembers(FleetState state, long nowMillis, List<FleetEffect> effects) {
        if (!LeadershipFlow.isLeader(state, nowMillis)) {
            return;
        }
        for (FleetPeer peer : state.peers().values()) {
            if (peer.isSilentSince(nowMillis - LOST_AFTER_MILLIS)) {
                effects.add(FleetEffect.Note.of(
                        "member_lost", "member", peer.member().id()));
                effects.add(new FleetEffect.Withdraw(peer.member().id()));
            }
        }
    }

    static List<ModelDemand> ownDemand(FleetState state, long nowMillis) {
        Map<DemandKey, Integer> waiting = new HashMap<>();
        for (FleetRequest request : state.requests().values()) {
            Optional<String> model = request.call().model();
            if (request.phase() instanceof RequestPhase.AwaitingReplica && model.isPresent()) {
                waiting.merge(new DemandKey(request.service(), model.get()), 1, Integer::sum);
            }
        }
        List<ModelDemand> demands = new ArrayList<>();
        state.demand().at(nowMillis).forEach((key, tokens) -> {
            DemandKey parsed = DemandKey.parse(key);
            demands.add(new ModelDemand(
                    parsed.service(),
                    parsed.model(),
                    tokens,
                    waiting.getOrDefault(parsed, 0),
                    state.objectives().getOrDefault(key, 0.0),
                    state.modelWaits().millis(parsed, nowMillis)));
        });
        return List.copyOf(demands);
    }

    /** Adds up demand for the same model. */
    static Map<DemandKey, ModelDemand> sumOfDemand(List<ModelDemand> demands) {
        Map<DemandKey, ModelDemand> sum = new HashMap<>();
        demands.forEach(demand -> add(sum, demand));
        return sum;
    }

    private static void add(Map<DemandKey, ModelDemand> sum, ModelDemand demand) {
        sum.merge(new DemandKey(demand.service(), demand.model()), demand, ModelDemand::plus);
    }
}
