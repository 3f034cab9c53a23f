package org.jackdawbeam.bench.harness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongFunction;
import org.jackdawbeam.logic.entry.EntryReducer;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.logic.entry.Event;
import org.jackdawbeam.logic.entry.Transition;
import org.jackdawbeam.model.member.Member;

/** An entry on the event queue. It can be killed, restarted with empty state, and paused between any two steps. */
public final class Node {
    private final EventQueue queue;
    private final EntryReducer reducer;
    private final String hostId;
    private final String zone;
    private final EffectExecutor effects;
    private final Deque<Runnable> deferredSteps = new ArrayDeque<>();
    private final Set<String> cutFrom = new HashSet<>();
    private EntryState state;
    private long incarnation;
    private boolean up = true;
    private boolean paused;
    private boolean exited;
    private long events;
    private final Map<String, Times> times = new TreeMap<>();

    /** Number of events of one type and the total time that the reducer spent on them. */
    public record Times(long count, long nanos) {
        private Times plus(Times other) {
            return new Times(count + other.count, nanos + other.nanos);
        }
    }

    /** Executes the effects of a node. */
    public interface EffectExecutor {
        /** Executes the effects of a transition. */
        void execute(Node node, EntryState before, Transition transition);

        /** Observes a transition right after the state changed, before its effects are executed. */
        void observe(Node node, EntryState before, EntryState after);
    }

    Node(EventQueue queue, EntryReducer reducer, String hostId, String zone, EffectExecutor effects) {
        this.queue = queue;
        this.reducer = reducer;
        this.hostId = hostId;
        this.zone = zone;
        this.effects = effects;
        start();
    }

    /** Returns the host id. */
    public String hostId() {
        return hostId;
    }

    /** Returns the availability zone. */
    public String zone() {
        return zone;
    }

    /** Returns the state. */
    public EntryState state() {
        return state;
    }

    /** Returns whether the process is running. */
    public boolean isUp() {
        return up;
    }

    /** Returns whether the process is paused. */
    public boolean isPaused() {
        return paused;
    }

    /** Returns whether the process has exited as planned. */
    public boolean hasExited() {
        return exited;
    }

    /** Returns a number that changes with each restart. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the number of events applied so far. */
    public long events() {
        return events;
    }

    /** Returns event counts and reducer time since the last reset, by event type. */
    public Map<String, Times> times() {
        return Map.copyOf(times);
    }

    /** Returns the total reducer time since the last reset. */
    public long busyNanos() {
        return times.values().stream().mapToLong(Times::nanos).sum();
    }

    /** Resets the measured times. */
    public void resetTimes() {
        times.clear();
    }

    /** Returns the mutable set of hosts and services that this node cannot reach. */
    public Set<String> cutFrom() {
        return cutFrom;
    }

    /** Applies an event now, or once the process resumes; discards the event if the process restarts before that. */
    public void submit(LongFunction<Event> event) {
        long incarnationAtSubmit = incarnation;
        run(() -> {
            if (incarnation == incarnationAtSubmit) {
                apply(event.apply(queue.currentTimeMillis()));
            }
        });
    }

    /** Kills the process immediately. */
    public void kill() {
        up = false;
        paused = false;
        incarnation++;
        deferredSteps.clear();
    }

    /** Exits the process as planned. */
    public void exit() {
        exited = true;
        kill();
    }

    /** Restarts the process with empty state. */
    public void restart() {
        up = true;
        exited = false;
        start();
    }

    /** Pauses the process; nothing is executed until it is resumed. */
    public void pause() {
        paused = up;
    }

    /** Resumes the process and executes everything that arrived while it was paused. */
    public void resume() {
        paused = false;
        Deque<Runnable> waiting = new ArrayDeque<>(deferredSteps);
        deferredSteps.clear();
        waiting.forEach(this::run);
    }

    private void start() {
        incarnation++;
        Member self = new Member(hostId, incarnation, zone, "http://" + hostId, hostId);
        state = EntryState.starting(self, queue.currentTimeMillis());
    }

    private void run(Runnable step) {
        if (!up) {
            return;
        }
        if (paused) {
            deferredSteps.add(step);
            return;
        }
        step.run();
    }

    /** Applies an event and executes its effects as two separate steps, so that a pause can fall between them. */
    private void apply(Event event) {
        events++;
        EntryState before = state;
        long startedAtNanos = System.nanoTime();
        Transition transition = reducer.apply(before, event);
        long nanos = System.nanoTime() - startedAtNanos;
        times.merge(event.getClass().getSimpleName(), new Times(1, nanos), Times::plus);
        state = transition.state();
        effects.observe(this, before, state);
        run(() -> effects.execute(this, before, transition));
    }
}
