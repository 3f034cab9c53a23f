package org.jackdawbeam.soak;

import java.util.Collection;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Times and locations of disturbances, so that guarantees that hold only without faults are checked only without them.
 * Thread-safe.
 */
final class DisturbanceLog {
    private final ConcurrentLinkedQueue<Disturbance> disturbances = new ConcurrentLinkedQueue<>();

    private record Disturbance(String location, long fromMillis, long untilMillis) {}

    /** Records a disturbance whose effects may last until the given time. */
    void record(String location, long fromMillis, long untilMillis) {
        disturbances.add(new Disturbance(location, fromMillis, untilMillis));
    }

    /** Returns whether no disturbance of the locations overlaps the interval. */
    boolean isUndisturbed(Collection<String> locations, long fromMillis, long untilMillis) {
        return disturbances.stream()
                .noneMatch(disturbance -> locations.contains(disturbance.location)
                        && disturbance.fromMillis <= untilMillis
                        && disturbance.untilMillis >= fromMillis);
    }
}
