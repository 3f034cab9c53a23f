package org.jackdawbeam.net.entry;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jackdawbeam.logic.entry.EntryReducer;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.logic.entry.Event;
import org.jackdawbeam.logic.entry.Transition;
import org.jackdawbeam.model.time.MonotonicClock;

/** Applies events to the reducer on a single thread, one at a time, and starts the resulting effects in order. */
public final class EventLoop implements AutoCloseable {
    private static final long TICK_MILLIS = 50;

    private final EntryReducer reducer;
    private final MonotonicClock clock;
    private final TransitionListener listener;
    private final DefaultEventExecutor executor = new DefaultEventExecutor(new DefaultThreadFactory("reducer", true));
    private volatile EntryState state;
    private EffectRunner effects;

    public EventLoop(EntryReducer reducer, EntryState initial, MonotonicClock clock, TransitionListener listener) {
        this.reducer = reducer;
        this.state = initial;
        this.clock = clock;
        this.listener = listener;
    }

    /** Starts the periodic tick events. Effects are passed to the given runner. */
    public void start(EffectRunner runner) {
        executor.execute(() -> effects = runner);
        executor.scheduleAtFixedRate(
                () -> apply(new Event.Ticked(clock.nowMillis())), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the state after the latest event. */
    public EntryState state() {
        return state;
    }

    /** Queues an event. */
    public void submit(Event event) {
        executor.execute(() -> apply(event));
    }

    /** Applies an event after a delay; the event is created when the delay has passed. */
    public void schedule(long delayMillis, Supplier<Event> event) {
        executor.schedule(() -> apply(event.get()), delayMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }

    private void apply(Event event) {
        EntryState before = state;
        long startedAtNanos = System.nanoTime();
        try {
            Transition transition = reducer.apply(before, event);
            state = transition.state();
            transition.effects().forEach(effects::run);
            listener.onTransition(before, event, transition, System.nanoTime() - startedAtNanos);
        } catch (RuntimeException e) {
            listener.onFailure(event, e);
        }
    }
}
