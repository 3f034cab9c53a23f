package org.jackdawbeam.logic.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage.Digest;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;

/**
 * Another entry.
 *
 * @param knownSinceMillis when this entry first knew of its incarnation
 * @param heardAtMillis when its latest heartbeat arrived; long ago if none has
 * @param digest its latest heartbeat
 * @param workByTarget the work of the heartbeat by target
 */
public record FleetPeer(
        FleetMember member,
        long knownSinceMillis,
        long heardAtMillis,
        Optional<Digest> digest,
        Map<String, TargetWork> workByTarget) {
    private static final long NEVER = -1_000_000_000;

    static FleetPeer announced(FleetMember member, long nowMillis) {
        return new FleetPeer(member, nowMillis, NEVER, Optional.empty(), Map.of());
    }

    static FleetPeer heard(Digest digest, long nowMillis) {
        return new FleetPeer(digest.member(), nowMillis, nowMillis, Optional.of(digest), byTarget(digest.work()));
    }

    /** Returns the peer with newer work than that of its heartbeat. */
    FleetPeer doing(List<TargetWork> work) {
        return new FleetPeer(member, knownSinceMillis, heardAtMillis, digest, byTarget(work));
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

    boolean isLeaving() {
        return digest.map(Digest::leaving).orElse(false);
    }

    boolean isReady() {
        return digest.map(latest -> latest.ready() && !latest.leaving()).orElse(false);
    }
}
