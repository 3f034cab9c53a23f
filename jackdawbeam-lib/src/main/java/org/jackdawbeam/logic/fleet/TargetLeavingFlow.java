package org.jackdawbeam.logic.fleet;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.model.fleet.FleetMessage;

/** Broadcasts, once per target, that a target has announced in an answer that it is about to leave. */
final class TargetLeavingFlow {

    /** Informs the peers of a target's announcement that this entry has received from the target itself. */
    FleetState onTargetAnswer(FleetState state, String target, List<FleetEffect> effects) {
        FleetTarget known = state.targets().get(target);
        if (known == null || known.announcedLeaving()) {
            return state;
        }
        return broadcast(state, known, state.self().id(), effects);
    }

    FleetState onMessage(FleetState state, FleetMessage.TargetLeaving message, List<FleetEffect> effects) {
        FleetTarget known = state.targets().get(message.target());
        boolean firstNotice = known != null
                && !known.announcedLeaving()
                && known.description().startedAtMillis() == message.startedAtMillis();
        return firstNotice ? broadcast(state, known, message.sender(), effects) : state;
    }

    private static FleetState broadcast(
            FleetState state, FleetTarget target, String source, List<FleetEffect> effects) {
        String id = target.description().id();
        effects.add(FleetEffect.Note.of("target_says_leaving", "target", id, "heard_from", source));
        FleetMessage notice = new FleetMessage.TargetLeaving(
                state.self().id(), id, target.description().startedAtMillis());
        boolean own = source.equals(state.self().id());
        if (!FleetTimings.isFullMesh(state.memberCount())) {
            receivers(state, own, source).forEach(member -> send(state, member, notice, effects));
        } else if (own) {
            PeerFlow.sendToAll(state, notice, effects);
        }
        return state.with(target.withLeavingAnnounced());
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
