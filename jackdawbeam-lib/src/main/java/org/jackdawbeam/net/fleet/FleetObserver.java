package org.jackdawbeam.net.fleet;

import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.FleetState;

/** Hears of all events and effects, for logs and metrics. Must not block. */
public interface FleetObserver {

    /** An event has been applied. */
    void onEvent(FleetState state, FleetEvent event);

    /** An effect is about to be run. */
    void onEffect(FleetState state, FleetEvent cause, FleetEffect effect);

    /** An event could not be applied, or one of its effects could not be run. */
    void onFailure(FleetEvent event, Throwable failure);
}
