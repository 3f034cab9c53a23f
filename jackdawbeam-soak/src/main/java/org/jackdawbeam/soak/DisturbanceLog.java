package org.jackdawbeam.soak;

import java.util.Collection;
import java.util.concurrent.ConcurrentLinkedQueue;

/** When and where something was disturbed, so that promises for calm times are judged in calm times only. */
final class DisturbanceLog {
    private final ConcurrentLinkedQueue<Disturbance> disturbances = new ConcurrentLinkedQueue<>();

    private record Disturbance(String location, long fromMillis, long untilMillis) {}

    /** Notes a disturbance; its effects may be seen until the given time. */
    void record(String location, long fromMillis, long untilMillis) {
        disturbances.add(new Disturbance(location, fromMillis, untilMillis));
    }

    /** Returns whether none of the locations was disturbed at any time of the interval. */
    boolean isUndisturbed(Collection<String> locations, long fromMillis, long untilMillis) {
        return disturbances.stream()
                .noneMatch(disturbance -> locations.contains(disturbance.location)
                        && disturbance.fromMillis <= untilMillis
                        && disturbance.untilMillis >= fromMillis);
    }
}
