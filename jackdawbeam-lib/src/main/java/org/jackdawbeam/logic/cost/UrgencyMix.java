package org.jackdawbeam.logic.cost;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The kinds of requests sent to the engines of a service, by priority.
 *
 * @param objectives shortest recent objective of a priority in milliseconds
 */
public record UrgencyMix(PMap<Integer, Double> objectives) {
    /** The lowest priority that engines support. */
    public static final int LOWEST_PRIORITY = 9;

    private static final int LATE_RANKS = 3;
    private static final double FORGOTTEN_PART = 0.02; // averages over about fifty requests
    private static final double PATIENT_OBJECTIVES = 4; // an objective that many times as long leaves room to wait

    static UrgencyMix unknown() {
        return new UrgencyMix(HashTreePMap.empty());
    }

    /** Returns the mix after a request was sent. */
    UrgencyMix withSent(int priority, long objectiveMillis) {
        double known = objectives.getOrDefault(priority, (double) objectiveMillis);
        double shortest = Math.min(objectiveMillis, known + FORGOTTEN_PART * (objectiveMillis - known));
        return new UrgencyMix(objectives.plus(priority, shortest));
    }

    /** Returns the priority at an engine of a request that yields: the more urgent kinds go first among these too. */
    public int yieldingPriority(int priority) {
        long lessUrgent =
                objectives.keySet().stream().filter(other -> other > priority).count();
        return LOWEST_PRIORITY - (int) Math.min(LATE_RANKS - 1, lessUrgent);
    }

    /** Returns whether more urgent requests have a much shorter objective, so that the request can wait for them. */
    public boolean isPatient(int priority, long objectiveMillis) {
        return objectives.entrySet().stream()
                .anyMatch(
                        other -> other.getKey() < priority && other.getValue() * PATIENT_OBJECTIVES <= objectiveMillis);
    }
}
