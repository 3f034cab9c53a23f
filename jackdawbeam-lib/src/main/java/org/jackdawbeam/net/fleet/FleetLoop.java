package org.jackdawbeam.net.fleet;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.FleetReducer;
import org.jackdawbeam.logic.fleet.FleetState;
import org.jackdawbeam.logic.fleet.Reduction;
import org.jackdawbeam.model.time.MonotonicClock;

/**
 * Event loop of an entry: passes events to the reducer one at a time, on the thread of the connections, and executes
 * the resulting effects in order. An event that is submitted while another is processed is queued.
 *
 * <p>Instances of {@link Error} are caught too, because they would stop the ticks and leave a process that runs without
 * doing anything. Exiting on {@link OutOfMemoryError} is left to an option of the Java runtime.
 */
public final class FleetLoop {
    private static final long TICK_MILLIS = 50; // a fifth of the shortest time limit that is checked on ticks
    private static final long LAG_MILLIS = 200; // well above a GC pause, well below the timeouts of callers
    private static final long SHORTEST_DELAY_MILLIS = 1;

    private final FleetReducer reducer;
    private final MonotonicClock clock;
    private final EventLoop thread;
    private final FleetObserver observer;
    private final Deque<FleetEvent> pending = new ArrayDeque<>();
    private Consumer<FleetEffect> runner = effect -> {};
    private FleetState state;
    private boolean applying;
    private long lastTickMillis;
    private long laggingUntilMillis;

    public FleetLoop(
            FleetReducer reducer, FleetState initial, MonotonicClock clock, EventLoop thread, FleetObserver observer) {
        this.reducer = reducer;
        this.state = initial;
        this.clock = clock;
        this.thread = thread;
        this.observer = observer;
    }

    /** Starts the ticks and passes all further effects to the given runner. */
    public void start(Consumer<FleetEffect> effectRunner) {
        lastTickMillis = nowMillis();
        thread.execute(() -> runner = effectRunner);
        thread.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        long nowMillis = nowMillis();
        laggingUntilMillis = isTickLate(nowMillis) ? nowMillis + LAG_MILLIS : laggingUntilMillis;
        lastTickMillis = nowMillis;
        submit(new FleetEvent.Ticked(nowMillis));
    }

    /** Returns whether data read now may have arrived long ago, because the thread or the process was blocked. */
    boolean isLagging() {
        long nowMillis = nowMillis();
        return nowMillis < laggingUntilMillis || isTickLate(nowMillis);
    }

    private boolean isTickLate(long nowMillis) {
        return nowMillis - lastTickMillis > TICK_MILLIS + LAG_MILLIS;
    }

    /** Runs an action after all data that has arrived by now has been read. */
    void runAfterPendingReads(Runnable action) {
        // One delay may already expire in the current iteration of the event loop; the second ends in a later one.
        thread.schedule(
                () -> thread.schedule(action, SHORTEST_DELAY_MILLIS, TimeUnit.MILLISECONDS),
                SHORTEST_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Returns the current time of the clock that timestamps events. */
    public long nowMillis() {
        return clock.nowMillis();
    }

    /** Returns the current state. Must be called on the loop's thread. */
    public FleetState state() {
        return state;
    }

    /** Submits an event. On the loop's thread it is processed at once, from other threads asynchronously. */
    public void submit(FleetEvent event) {
        if (!thread.inEventLoop()) {
            thread.execute(() -> submit(event));
            return;
        }
        pending.add(event);
        if (applying) {
            return;
        }
        applying = true;
        try {
            while (!pending.isEmpty()) {
                apply(pending.poll());
            }
        } finally {
            applying = false;
        }
    }

    /** Submits a {@link FleetEvent.Woken} after a delay. */
    void wakeAfter(long delayMillis) {
        thread.schedule(() -> submit(new FleetEvent.Woken(nowMillis())), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Processes an event. A failure affects only its event, step of a tick, or effect; a failed effect reports it. */
    private void apply(FleetEvent event) {
        Reduction reduction;
        try {
            reduction = reducer.apply(state, event, failure -> reportFailure(event, failure));
        } catch (RuntimeException | Error e) {
            reportFailure(event, e);
            return;
        }
        state = reduction.state();
        reduction.effects().forEach(effect -> run(event, effect));
        try {
            observer.onEvent(state, event);
        } catch (RuntimeException | Error e) {
            reportFailure(event, e);
        }
    }

    private void run(FleetEvent event, FleetEffect effect) {
        try {
            observer.onEffect(state, event, effect);
            runner.accept(effect);
        } catch (RuntimeException | Error e) {
            reportFailure(event, e);
            EffectFailureEvents.failureEvent(effect, nowMillis()).ifPresent(pending::add);
        }
    }

    private void reportFailure(FleetEvent event, Throwable failure) {
        try {
            observer.onFailure(event, failure);
        } catch (RuntimeException | Error e) {
            // The observer itself has failed, so the failure cannot be reported.
        }
    }
}
