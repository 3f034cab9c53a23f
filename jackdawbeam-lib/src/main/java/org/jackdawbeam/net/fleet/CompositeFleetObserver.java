package org.jackdawbeam.net.fleet;

import java.util.List;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.FleetState;

/** Notifies several observers in order. */
public final class CompositeFleetObserver implements FleetObserver {
    private final List<FleetObserver> observers;

    public CompositeFleetObserver(List<FleetObserver> observers) {
        this.observers = List.copyOf(observers);
    }

    @Override
    public void onEvent(FleetState state, FleetEvent event) {
        observers.forEach(observer -> observer.onEvent(state, event));
    }

    @Override
    public void onEffect(FleetState state, FleetEvent cause, FleetEffect effect) {
        observers.forEach(observer -> observer.onEffect(state, cause, effect));
    }

    @Override
    public void onFailure(FleetEvent event, Throwable failure) {
        observers.forEach(observer -> observer.onFailure(event, failure));
    }
}
