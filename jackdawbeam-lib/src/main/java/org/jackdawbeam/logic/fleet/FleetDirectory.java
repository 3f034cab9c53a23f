package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.fleet.FleetMember;

/** Looks up addresses and readiness of the entries of a fleet. */
public final class FleetDirectory {
    private static final int MAX_ADDRESSES = 64;

    private FleetDirectory() {}

    /** Returns the caller addresses of the entries that accept requests; empty if there are none. */
    public static List<String> addresses(FleetState state, long nowMillis) {
        long timeoutMillis = FleetTimings.peerTimeoutMillis(state.memberCount());
        List<String> addresses = new ArrayList<>();
        if (PeerFlow.isReady(state, nowMillis)) {
            addresses.add(state.self().callerAddress());
        }
        state.peers().values().stream()
                .filter(peer -> peer.isReady() && peer.isAlive(nowMillis, timeoutMillis))
                .map(FleetPeer::member)
                .sorted(Comparator.comparingInt(member -> (state.self().id() + member.id()).hashCode()))
                .map(FleetMember::callerAddress)
                .limit(MAX_ADDRESSES - 1L)
                .forEach(addresses::add);
        return List.copyOf(addresses);
    }

    /** Returns the address on which a member listens for its peers; empty if the member is unknown. */
    public static Optional<String> peerAddress(FleetState state, String memberId) {
        return Optional.ofNullable(state.peers().get(memberId))
                .map(peer -> peer.member().peerAddress());
    }

    /** Returns whether this entry accepts requests from callers. */
    public static boolean isReady(FleetState state, long nowMillis) {
        return PeerFlow.isReady(state, nowMillis);
    }
}
