package org.jackdawbeam.bench.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.LongFunction;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.FleetReducer;
import org.jackdawbeam.logic.fleet.FleetState;
import org.jackdawbeam.logic.fleet.Reduction;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetMember;

/** An entry of a simulated fleet: the reducer with its state, and whether its process and links are well. */
public final class SimulatedMember {
    private final FleetReducer reducer = new FleetReducer();
    private final FleetBounds bounds;
    private final Deque<LongFunction<FleetEvent>> deferredEvents = new ArrayDeque<>();
    private FleetMember identity;
    private FleetState state;
    private int incarnation = 1;
    private boolean up = true;
    private boolean paused;
    private boolean cutFromStore;
    private boolean cutFromPeers;

    SimulatedMember(String id, FleetBounds bounds) {
        this.bounds = bounds;
        reset(id);
    }

    private void reset(String id) {
        identity = new FleetMember(id, id + "/" + incarnation, "zone-1", id + ":1", id + ":2", 100);
        state = FleetState.initial(identity, bounds);
        deferredEvents.clear();
    }

    /** Returns who it is. */
    public FleetMember identity() {
        return identity;
    }

    /** Returns all that it knows. */
    public FleetState state() {
        return state;
    }

    /** Returns how often it was started. */
    public int incarnation() {
        return incarnation;
    }

    /** Returns whether the process runs. */
    public boolean isUp() {
        return up;
    }

    boolean isPaused() {
        return paused;
    }

    boolean isCutFromStore() {
        return cutFromStore;
    }

    boolean isCutFromPeers() {
        return cutFromPeers;
    }

    void setCutFromStore(boolean cut) {
        cutFromStore = cut;
    }

    void setCutFromPeers(boolean cut) {
        cutFromPeers = cut;
    }

    /** Ends the process; nothing that it knew stays. */
    public void kill() {
        up = false;
        paused = false;
        incarnation++;
        reset(identity.id());
    }

    /** Starts the process again. */
    public void start() {
        up = true;
    }

    void pause() {
        paused = up;
    }

    /** Applies an event, or keeps it for as long as the process is suspended. */
    List<FleetEffect> apply(LongFunction<FleetEvent> event, long nowMillis) {
        if (paused) {
            deferredEvents.add(event);
            return List.of();
        }
        Reduction reduction = reducer.apply(state, event.apply(nowMillis));
        state = reduction.state();
        return reduction.effects();
    }

    /** Ends a suspension; returns the events that waited, oldest first. */
    List<LongFunction<FleetEvent>> resume() {
        paused = false;
        List<LongFunction<FleetEvent>> waiting = List.copyOf(deferredEvents);
        deferredEvents.clear();
        return waiting;
    }
}
