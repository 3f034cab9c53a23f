package org.jackdawbeam.logic.fleet;

import java.util.List;
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
        TargetNotices.spread(state, notice, source, effects);
        return state.with(target.withLeavingAnnounced());
    }
}
