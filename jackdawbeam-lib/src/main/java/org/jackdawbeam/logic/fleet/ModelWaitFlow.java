package org.jackdawbeam.logic.fleet;

import java.util.HashSet;
import java.util.Set;

/** Ends the wait for a model when an engine holds it, or when nobody asks for it any more. */
final class ModelWaitFlow {

    FleetState tick(FleetState state, long nowMillis) {
        if (state.modelWaits().byModel().isEmpty()) {
            return state;
        }
        Set<DemandKey> held = new HashSet<>();
        for (FleetTarget target : state.targets().values()) {
            if (!target.isLeaving() && target.goneAtMillis().isEmpty() && !EvacuationFlow.isEvacuated(state, target)) {
                target.description().models().stream()
                        .filter(model -> !target.unloading().contains(model))
                        .forEach(model ->
                                held.add(new DemandKey(target.description().service(), model)));
            }
        }
        return state.with(state.modelWaits().without(held::contains, nowMillis));
    }
}
