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
 * Applies events to the reducer, one at a time on the thread of the connections, and runs the effects in order. An
 * event that is submitted while another is applied follows after it.
 *
 * <p>Errors are caught too: without the ticks the process would live on and do nothing. The one that must end it, lack
 * of memory, is left to an option of the runtime.
 */
public final class FleetLoop {
    private static final long TICK_MILLIS = 50; // a fifth of the shortest time limit that depends on it
    private static final long LAG_MILLIS = 200; // well above a collection of garbage, well below a caller's patience
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

    /** Starts ticking. Effects go to the given runner from now on. */
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

    /** Returns whether what is read now may have arrived long ago, because the thread or the process was held up. */
    boolean isLagging() {
        long nowMillis = nowMillis();
        return nowMillis < laggingUntilMillis || isTickLate(nowMillis);
    }

    private boolean isTickLate(long nowMillis) {
        return nowMillis - lastTickMillis > TICK_MILLIS + LAG_MILLIS;
    }

    /** Runs an action after everything has been read that has arrived by now. */
    void runAfterPendingReads(Runnable action) {
        // A delay may already be over when the tasks of this round run; the second one is not before the next round.
        thread.schedule(
                () -> thread.schedule(action, SHORTEST_DELAY_MILLIS, TimeUnit.MILLISECONDS),
                SHORTEST_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Returns the time that events carry. */
    public long nowMillis() {
        return clock.nowMillis();
    }

    /** Returns the latest state. Call on the thread of the loop. */
    public FleetState state() {
        return state;
    }

    /** Applies an event. From another thread it is applied soon, from the loop's own thread at once. */
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

    /** A failure concerns its event or effect only: the loop goes on, and what was awaited ends as failed. */
    private void apply(FleetEvent event) {
        Reduction reduction;
        try {
            reduction = reducer.apply(state, event);
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
            EffectFailureEvents.outcome(effect, nowMillis()).ifPresent(pending::add);
        }
    }

    private void reportFailure(FleetEvent event, Throwable failure) {
        try {
            observer.onFailure(event, failure);
        } catch (RuntimeException | Error e) {
            // The log itself has failed; there is nothing left to tell.
        }
    }
}
