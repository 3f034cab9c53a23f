package org.jackdawbeam.bench.harness;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Discrete-event scheduler with a virtual clock. Actions run in order of their due time, and in scheduling order if
 * due times are equal. The clock advances only when actions run.
 */
public final class EventQueue {
    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Scheduled::atMillis).thenComparingLong(Scheduled::number));
    private double nowMillis;
    private long nextNumber;

    private record Scheduled(double atMillis, long number, Runnable action) {}

    /** Returns the virtual time in milliseconds. */
    public double nowMillis() {
        return nowMillis;
    }

    /** Returns the virtual time truncated to whole milliseconds, as entries see it. */
    public long currentTimeMillis() {
        return (long) nowMillis;
    }

    /** Schedules an action after a delay; a negative delay counts as zero. */
    public void after(double delayMillis, Runnable action) {
        queue.add(new Scheduled(nowMillis + Math.max(0, delayMillis), nextNumber++, action));
    }

    /** Schedules an action at a fixed interval, first after one interval. */
    public void every(double intervalMillis, Runnable action) {
        after(intervalMillis, () -> {
            action.run();
            every(intervalMillis, action);
        });
    }

    /** Runs all actions that are due at or before the given time and advances the clock to it. */
    public void runUntil(double untilMillis) {
        while (!queue.isEmpty() && queue.peek().atMillis() <= untilMillis) {
            Scheduled next = queue.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
        nowMillis = untilMillis;
    }
}
