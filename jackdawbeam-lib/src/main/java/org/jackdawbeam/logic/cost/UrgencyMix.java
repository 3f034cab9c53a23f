package org.jackdawbeam.logic.cost;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The priorities of the requests that are sent to the engines of a service.
 *
 * @param priorities priorities that have occurred, 0 is the highest
 */
public record UrgencyMix(PSet<Integer> priorities) {
    /** The lowest priority that engines support. */
    public static final int LOWEST_PRIORITY = 9;

    private static final int LATE_RANKS = 3;

    static UrgencyMix unknown() {
        return new UrgencyMix(HashTreePSet.empty());
    }

    /** Returns the mix after a request was sent. */
    UrgencyMix withSent(int priority) {
        return priorities.contains(priority) ? this : new UrgencyMix(priorities.plus(priority));
    }

    /** Returns the priority at an engine of a late request: the more urgent kinds go first among these too. */
    public int latePriority(int priority) {
        long lessUrgent = priorities.stream().filter(other -> other > priority).count();
        return LOWEST_PRIORITY - (int) Math.min(LATE_RANKS - 1, lessUrgent);
    }
}
