package org.jackdawbeam.net.fleet;

import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.FleetState;

/** Is notified of all events and effects, for logs and metrics. Must not block. */
public interface FleetObserver {

    /** Called after an event has been applied. */
    void onEvent(FleetState state, FleetEvent event);

    /** Called before an effect is executed. */
    void onEffect(FleetState state, FleetEvent cause, FleetEffect effect);

    /** Called if an event could not be applied or one of its effects could not be executed. */
    void onFailure(FleetEvent event, Throwable failure);
}
