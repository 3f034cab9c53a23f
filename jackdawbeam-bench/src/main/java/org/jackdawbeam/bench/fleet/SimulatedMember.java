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

/** An entry of a simulated fleet: its reducer, its state, and the condition of its process and links. */
public final class SimulatedMember {
    private final FleetReducer reducer = new FleetReducer();
    private final String zone;
    private final FleetBounds bounds;
    private final Deque<LongFunction<FleetEvent>> deferredEvents = new ArrayDeque<>();
    private FleetMember identity;
    private FleetState state;
    private int incarnation = 1;
    private boolean up = true;
    private boolean paused;
    private boolean cutFromStore;
    private boolean cutFromPeers;

    SimulatedMember(String id, String zone, FleetBounds bounds) {
        this.zone = zone;
        this.bounds = bounds;
        reset(id);
    }

    private void reset(String id) {
        identity = new FleetMember(id, id + "/" + incarnation, zone, id + ":1", id + ":2", 100);
        state = FleetState.initial(identity, bounds);
        deferredEvents.clear();
    }

    /** Returns the identity under which it is a member. */
    public FleetMember identity() {
        return identity;
    }

    /** Returns the state of the reducer. */
    public FleetState state() {
        return state;
    }

    /** Returns the number of the current process incarnation. */
    public int incarnation() {
        return incarnation;
    }

    /** Returns whether the process is running. */
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

    /** Kills the process; its state is lost. */
    public void kill() {
        up = false;
        paused = false;
        incarnation++;
        reset(identity.id());
    }

    /** Starts the process. */
    public void start() {
        up = true;
    }

    void pause() {
        paused = up;
    }

    /** Applies an event, or defers it while the process is paused. */
    List<FleetEffect> apply(LongFunction<FleetEvent> event, long nowMillis) {
        if (paused) {
            deferredEvents.add(event);
            return List.of();
        }
        Reduction reduction = reducer.apply(state, event.apply(nowMillis));
        state = reduction.state();
        return reduction.effects();
    }

    /** Resumes the process and returns the deferred events, oldest first. */
    List<LongFunction<FleetEvent>> resume() {
        paused = false;
        List<LongFunction<FleetEvent>> waiting = List.copyOf(deferredEvents);
        deferredEvents.clear();
        return waiting;
    }
}
