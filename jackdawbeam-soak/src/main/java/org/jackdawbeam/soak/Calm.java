package org.jackdawbeam.soak;

import java.util.Collection;
import java.util.concurrent.ConcurrentLinkedQueue;

/** When and where something was disturbed, so that promises for calm times are judged in calm times only. */
final class Calm {
    private final ConcurrentLinkedQueue<Disturbance> disturbances = new ConcurrentLinkedQueue<>();

    private record Disturbance(String place, long fromMillis, long untilMillis) {}

    /** Notes a disturbance; its effects may be seen until the given time. */
    void disturb(String place, long fromMillis, long untilMillis) {
        disturbances.add(new Disturbance(place, fromMillis, untilMillis));
    }

    /** Returns whether none of the places was disturbed at any time of the interval. */
    boolean isCalm(Collection<String> places, long fromMillis, long untilMillis) {
        return disturbances.stream()
                .noneMatch(disturbance -> places.contains(disturbance.place)
                        && disturbance.fromMillis <= untilMillis
                        && disturbance.untilMillis >= fromMillis);
    }
}
