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
 * Another member of the fleet, as known to this entry.
 *
 * @param knownSinceMillis when this entry first learned of the peer's incarnation
 * @param heardAtMillis when it was last heard from, directly or through a hub; far in the past if none
 * @param ready whether callers may be directed to it
 * @param leaving whether it is about to stop
 * @param leadership present if it is the placement leader
 * @param stampMillis time of its latest direct heartbeat by its own clock; empty if it reports through a hub
 * @param workByTarget its open load by target; empty if it reports through a hub
 * @param demand the demand of its callers; empty if it reports through a hub
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

    /** Returns a peer reported by a hub; its load is contained in the hub's totals. */
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

    /** Returns the peer after a hub has reported it as alive and unchanged. */
    FleetPeer heardAt(long nowMillis) {
        return new FleetPeer(
                member, knownSinceMillis, nowMillis, ready, leaving, leadership, stampMillis, workByTarget, demand);
    }

    /** Returns the peer with load that is newer than its latest heartbeat. */
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

    boolean isAlive(long nowMillis, long timeoutMillis) {
        return nowMillis - heardAtMillis < timeoutMillis;
    }

    /** Returns whether nothing has been received from the peer since the given time. */
    boolean isSilentSince(long sinceMillis) {
        return Math.max(knownSinceMillis, heardAtMillis) < sinceMillis;
    }

    boolean isReady() {
        return ready && !leaving;
    }
}
