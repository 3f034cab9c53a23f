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

/** One entry on the event queue. It can be killed, restarted empty, and paused between any two steps. */
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

    /** Number and processor time of the events of one type. */
    public record Times(long count, long nanos) {
        private Times plus(Times other) {
            return new Times(count + other.count, nanos + other.nanos);
        }
    }

    /** Executes effects of a node. */
    public interface EffectExecutor {
        /** Executes the effects of a transition. */
        void execute(Node node, EntryState before, Transition transition);

        /** Observes a transition when it is made, before its effects are executed. */
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

    /** Returns whether the process runs. */
    public boolean isUp() {
        return up;
    }

    /** Returns whether the process is paused. */
    public boolean isPaused() {
        return paused;
    }

    /** Returns whether the process has ended as planned. */
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

    /** Returns the time that the reducer took since the last reset, by type of event. */
    public Map<String, Times> times() {
        return Map.copyOf(times);
    }

    /** Returns the time that the reducer took since the last reset. */
    public long busyNanos() {
        return times.values().stream().mapToLong(Times::nanos).sum();
    }

    /** Forgets the times measured so far. */
    public void resetTimes() {
        times.clear();
    }

    /** Returns the hosts and services that this node cannot reach. */
    public Set<String> cutFrom() {
        return cutFrom;
    }

    /** Applies an event as of now, or when the process is continued. */
    public void submit(LongFunction<Event> event) {
        long incarnationAtSubmit = incarnation;
        run(() -> {
            if (incarnation == incarnationAtSubmit) {
                apply(event.apply(queue.currentTimeMillis()));
            }
        });
    }

    /** Ends the process at once. */
    public void kill() {
        up = false;
        paused = false;
        incarnation++;
        deferredSteps.clear();
    }

    /** Ends the process as planned. */
    public void exit() {
        exited = true;
        kill();
    }

    /** Starts the process again, empty. */
    public void restart() {
        up = true;
        exited = false;
        start();
    }

    /** Freezes the process: nothing is executed until it is continued. */
    public void pause() {
        paused = up;
    }

    /** Continues the process; everything that arrived meanwhile is executed now. */
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

    /** Applying and executing are two steps, so that a pause can fall between them. */
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
