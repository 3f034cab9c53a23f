package org.jackdawbeam.logic.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage.Digest;
import org.jackdawbeam.model.fleet.FleetMessage.LeadershipClaim;
import org.jackdawbeam.model.fleet.FleetMessage.MemberStatus;
import org.jackdawbeam.model.fleet.FleetMessage.ModelDemand;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;

/**
 * Another entry.
 *
 * @param knownSinceMillis when this entry first knew of its incarnation
 * @param heardAtMillis when it was last heard, itself or through a hub; long ago if never
 * @param ready whether callers may be sent to it
 * @param leaving whether it is about to stop
 * @param leadership present if it holds the placement duty
 * @param stampMillis time of its latest heartbeat by its own clock, if it tells this entry itself
 * @param workByTarget what it has sent to targets, if it tells this entry itself
 * @param demand what its callers ask for, if it tells this entry itself
 */
public record FleetPeer(
        FleetMember member,
        long knownSinceMillis,
        long heardAtMillis,
        boolean ready,
        boolean leaving,
        Optional<LeadershipClaim> leadership,
        OptionalLong stampMillis,
        Map<String, TargetWork> workByTarget,
        List<ModelDemand> demand) {
    private static final long NEVER = -1_000_000_000;

    static FleetPeer announced(FleetMember member, long nowMillis) {
        return new FleetPeer(
                member, nowMillis, NEVER, false, false, Optional.empty(), OptionalLong.empty(), Map.of(), List.of());
    }

    static FleetPeer fromDigest(Digest digest, long nowMillis) {
        return new FleetPeer(
                digest.member(),
                nowMillis,
                nowMillis,
                digest.ready(),
                digest.leaving(),
                digest.leadership(),
                OptionalLong.of(digest.stampMillis()),
                byTarget(digest.work()),
                digest.demand());
    }

    /** Returns a peer of which a hub tells; what it does is in the hub's sums. */
    static FleetPeer fromHub(MemberStatus status, long nowMillis) {
        return new FleetPeer(
                status.member(),
                nowMillis,
                nowMillis,
                status.ready(),
                status.leaving(),
                status.leadership(),
                OptionalLong.empty(),
                Map.of(),
                List.of());
    }

    /** Returns the peer of which a hub tells that it was heard and has not changed. */
    FleetPeer seenAt(long nowMillis) {
        return new FleetPeer(
                member, knownSinceMillis, nowMillis, ready, leaving, leadership, stampMillis, workByTarget, demand);
    }

    /** Returns the peer with newer work than that of its heartbeat. */
    FleetPeer withWork(List<TargetWork> work) {
        return new FleetPeer(
                member,
                knownSinceMillis,
                heardAtMillis,
                ready,
                leaving,
                leadership,
                stampMillis,
                byTarget(work),
                demand);
    }

    MemberStatus status() {
        return new MemberStatus(member, ready, leaving, leadership);
    }

    private static Map<String, TargetWork> byTarget(List<TargetWork> work) {
        Map<String, TargetWork> byTarget = new HashMap<>();
        work.forEach(item -> byTarget.put(item.target(), item));
        return Map.copyOf(byTarget);
    }

    boolean isAlive(long nowMillis, long silenceMillis) {
        return nowMillis - heardAtMillis < silenceMillis;
    }

    /** Returns whether the peer has been silent since the given time. */
    boolean isSilentSince(long sinceMillis) {
        return Math.max(knownSinceMillis, heardAtMillis) < sinceMillis;
    }

    boolean isReady() {
        return ready && !leaving;
    }
}
