package org.jackdawbeam.logic.fleet;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.model.fleet.FleetMessage;

/** Spreads through the fleet what a target has stated about itself in an answer. */
final class TargetNotices {
    private TargetNotices() {}

    /**
     * Sends a notice to the entries that have not received it.
     *
     * @param source the entry that told this one, or this entry if the target did
     */
    static void spread(FleetState state, FleetMessage notice, String source, List<FleetEffect> effects) {
        boolean own = source.equals(state.self().id());
        if (!FleetTimings.isFullMesh(state.memberCount())) {
            receivers(state, own, source).forEach(member -> send(state, member, notice, effects));
        } else if (own) {
            PeerFlow.sendToAll(state, notice, effects);
        }
    }

    /**
     * Returns the receivers in a large fleet. An entry informs its hub. A hub informs its group, and also the other
     * hubs unless one of them sent the notice.
     */
    private static Set<String> receivers(FleetState state, boolean own, String source) {
        Set<String> receivers = new LinkedHashSet<>();
        if (HubFlow.isHub(state)) {
            receivers.addAll(state.hub().group().keySet());
            boolean fromOtherHub = state.hub().groups().containsKey(source);
            receivers.addAll(fromOtherHub ? Set.of() : state.hub().groups().keySet());
        } else if (own) {
            state.hub().id().ifPresent(receivers::add);
        }
        receivers.remove(source);
        receivers.remove(state.self().id());
        return receivers;
    }

    private static void send(FleetState state, String member, FleetMessage notice, List<FleetEffect> effects) {
        Optional.ofNullable(state.peers().get(member))
                .ifPresent(peer -> effects.add(
                        new FleetEffect.SendPeerMessage(peer.member().peerAddress(), notice)));
    }
}
