package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.Workspace;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Enforces the rate limits of workspaces. Each workspace's quota is owned by one entry, the first of the reachable
 * members in rendezvous hash order. The owner grants a share of the rate in proportion to the members that it can
 * reach, so that the parts of a partitioned fleet together grant no more than the rate.
 */
final class QuotaFlow {

    private static final long OWNERSHIP_CHECK_MILLIS = 1_000; // a burst takes at least about that long to accrue

    /** Outcome of a request for quota units. */
    sealed interface Verdict {
        /** The units were granted. */
        record Granted() implements Verdict {}

        /** The workspace is over its rate. */
        record Denied(long retryAfterMillis) implements Verdict {}

        /** Another entry owns the quota. */
        record OwnedByPeer(FleetPeer peer) implements Verdict {}
    }

    /** Outcome of a request for units, with the resulting state. */
    record Decision(FleetState state, Verdict verdict) {}

    /** Periodically updates which workspaces this entry owns. */
    FleetState tick(FleetState state, long nowMillis) {
        QuotaOwnership before = state.quotaOwnership();
        if (nowMillis - before.checkedAtMillis() < OWNERSHIP_CHECK_MILLIS
                || state.configuration().isEmpty()) {
            return state;
        }
        List<FleetPeer> remaining = remaining(state, nowMillis);
        PMap<String, Long> since = HashTreePMap.empty();
        for (Workspace workspace : state.configuration().get().workspaces().values()) {
            boolean owned = workspace.limited()
                    && owner(remaining, workspace.name()).member().equals(state.self());
            long from = before.sinceMillis().getOrDefault(workspace.name(), nowMillis);
            since = owned ? since.plus(workspace.name(), from) : since;
        }
        return state.with(new QuotaOwnership(since, nowMillis));
    }

    private static FleetPeer owner(List<FleetPeer> members, String workspace) {
        return members.stream()
                .min(Comparator.comparingLong(
                        peer -> rank(workspace, peer.member().id())))
                .orElseThrow();
    }

    /** Acquires units from the local bucket, or returns the entry that owns the quota. */
    Decision acquire(FleetState state, Workspace workspace, double units, int round, long nowMillis) {
        List<FleetPeer> ranking = ranking(state, workspace.name(), nowMillis);
        if (round >= ownRank(state, workspace.name(), nowMillis)) {
            return acquireLocally(state, workspace, units, nowMillis);
        }
        return new Decision(state, new Verdict.OwnedByPeer(ranking.get(round)));
    }

    FleetState onQuestion(
            FleetState state, long nowMillis, FleetMessage.QuotaQuestion question, List<FleetEffect> effects) {
        FleetPeer requester = state.peers().get(question.sender());
        Optional<Workspace> workspace = state.configuration().flatMap(known -> known.workspace(question.workspace()));
        if (requester == null || workspace.isEmpty()) {
            return state;
        }
        Decision decision = acquireLocally(state, workspace.get(), question.units(), nowMillis);
        boolean granted = decision.verdict() instanceof Verdict.Granted;
        long retryAfter = decision.verdict() instanceof Verdict.Denied denied ? denied.retryAfterMillis() : 0;
        FleetMessage answer = new FleetMessage.QuotaAnswer(
                state.self().id(), question.requestId(), question.round(), granted, retryAfter);
        effects.add(new FleetEffect.SendPeerMessage(requester.member().peerAddress(), answer));
        return decision.state();
    }

    FleetState onReturn(FleetState state, FleetMessage.QuotaReturn returned) {
        QuotaBucket bucket = state.buckets().get(returned.workspace());
        return bucket == null ? state : state.with(returned.workspace(), bucket.spend(-returned.units()));
    }

    /** Refunds the units of a request that did not run. */
    FleetState refund(FleetState state, FleetRequest request, long nowMillis, List<FleetEffect> effects) {
        Optional<Workspace> workspace =
                request.workspace().flatMap(name -> state.configuration().flatMap(known -> known.workspace(name)));
        if (workspace.isEmpty() || !workspace.get().limited()) {
            return state;
        }
        FleetMessage.QuotaReturn returned =
                new FleetMessage.QuotaReturn(state.self().id(), workspace.get().name(), request.units());
        FleetPeer first = ranking(state, workspace.get().name(), nowMillis).getFirst();
        if (first.member().equals(state.self())) {
            return onReturn(state, returned);
        }
        effects.add(new FleetEffect.SendPeerMessage(first.member().peerAddress(), returned));
        return state;
    }

    private static Decision acquireLocally(FleetState state, Workspace workspace, double units, long nowMillis) {
        double share = reachableShare(state, nowMillis);
        QuotaBucket bucket = Optional.ofNullable(state.buckets().get(workspace.name()))
                .orElseGet(() -> QuotaBucket.initial(
                        workspace, state.quotaOwnership().sinceMillis().getOrDefault(workspace.name(), nowMillis)))
                .accrue(workspace, share, nowMillis);
        if (bucket.admits(workspace, share, units)) {
            return new Decision(state.with(workspace.name(), bucket.spend(units)), new Verdict.Granted());
        }
        long wait = bucket.millisUntil(workspace, share, units);
        return new Decision(state.with(workspace.name(), bucket), new Verdict.Denied(wait));
    }

    /** Returns the share of the announced members that are reachable. */
    static double reachableShare(FleetState state, long nowMillis) {
        return (double) reachable(state, nowMillis).size() / state.memberCount();
    }

    /** Returns this entry's rank among the reachable members that are not leaving, in the order of a key. */
    static int ownRank(FleetState state, String key, long nowMillis) {
        List<FleetPeer> ranking = ranking(state, key, nowMillis);
        for (int rank = 0; rank < ranking.size(); rank++) {
            if (ranking.get(rank).member().equals(state.self())) {
                return rank;
            }
        }
        return ranking.size();
    }

    /** Returns whether this entry is the first of the reachable members that are not leaving, in the order of a key. */
    static boolean isFirst(FleetState state, String key, long nowMillis) {
        return ranking(state, key, nowMillis).getFirst().member().equals(state.self());
    }

    private static List<FleetPeer> reachable(FleetState state, long nowMillis) {
        long timeoutMillis = FleetTimings.peerTimeoutMillis(state.memberCount());
        List<FleetPeer> members = new ArrayList<>();
        members.add(FleetPeer.announced(state.self(), nowMillis));
        state.peers().values().stream()
                .filter(peer -> peer.isAlive(nowMillis, timeoutMillis))
                .forEach(members::add);
        return members;
    }

    /** Returns the reachable members that are not leaving, by rank; the first owns the quota of the workspace. */
    private static List<FleetPeer> ranking(FleetState state, String workspace, long nowMillis) {
        return remaining(state, nowMillis).stream()
                .sorted(Comparator.comparingLong(
                        peer -> rank(workspace, peer.member().id())))
                .toList();
    }

    /** Returns the reachable members that are not leaving; all of them if all are leaving. */
    private static List<FleetPeer> remaining(FleetState state, long nowMillis) {
        boolean selfStays = state.stop() instanceof StopStage.Serving;
        List<FleetPeer> members = reachable(state, nowMillis);
        List<FleetPeer> remaining = members.stream()
                .filter(peer -> peer.member().equals(state.self()) ? selfStays : !peer.leaving())
                .toList();
        return remaining.isEmpty() ? members : remaining;
    }

    private static long rank(String workspace, String memberId) {
        long mixed = (workspace.hashCode() * 0x9E3779B97F4A7C15L) ^ (memberId.hashCode() * 0xC2B2AE3D27D4EB4FL);
        mixed ^= mixed >>> 29;
        mixed *= 0xBF58476D1CE4E5B9L;
        return mixed ^ (mixed >>> 32);
    }
}
