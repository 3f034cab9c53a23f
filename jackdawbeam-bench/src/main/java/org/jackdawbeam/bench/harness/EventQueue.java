package org.jackdawbeam.bench.harness;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Actions in the order of their times; equal times keep the order of scheduling. Time moves only by running them. */
public final class EventQueue {
    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Scheduled::atMillis).thenComparingLong(Scheduled::number));
    private double nowMillis;
    private long nextNumber;

    private record Scheduled(double atMillis, long number, Runnable action) {}

    /** Returns the time, in milliseconds. */
    public double nowMillis() {
        return nowMillis;
    }

    /** Returns the time as entries see it. */
    public long currentTimeMillis() {
        return (long) nowMillis;
    }

    /** Schedules an action. */
    public void after(double delayMillis, Runnable action) {
        queue.add(new Scheduled(nowMillis + Math.max(0, delayMillis), nextNumber++, action));
    }

    /** Schedules an action again and again. */
    public void every(double intervalMillis, Runnable action) {
        after(intervalMillis, () -> {
            action.run();
            every(intervalMillis, action);
        });
    }

    /** Runs everything up to the given time. */
    public void runUntil(double untilMillis) {
        while (!queue.isEmpty() && queue.peek().atMillis() <= untilMillis) {
            Scheduled next = queue.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
        nowMillis = untilMillis;
    }
}
