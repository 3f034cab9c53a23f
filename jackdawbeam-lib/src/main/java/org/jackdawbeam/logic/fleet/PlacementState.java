package org.jackdawbeam.logic.fleet;

import org.jackdawbeam.model.fleet.FleetMessage.PlacementWish;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Work of the holder of the placement duty.
 *
 * @param engines engines by target id
 * @param wishes adapters asked for, with the time of the wish
 * @param loads loads from the weight store that may begin now
 * @param accruedAtMillis time up to which loads have been accrued
 * @param plannedAtMillis when replicas were last planned
 */
public record PlacementState(
        PMap<String, EngineDuty> engines,
        PMap<PlacementWish, Long> wishes,
        double loads,
        long accruedAtMillis,
        long plannedAtMillis) {

    static PlacementState empty() {
        return takenOver(0);
    }

    /** Returns the state of a new holder, which assumes that its predecessor has used all loads. */
    static PlacementState takenOver(long nowMillis) {
        return new PlacementState(HashTreePMap.empty(), HashTreePMap.empty(), 0, nowMillis, 0);
    }

    PlacementState with(String target, EngineDuty duty) {
        return new PlacementState(engines.plus(target, duty), wishes, loads, accruedAtMillis, plannedAtMillis);
    }

    PlacementState without(String target) {
        return new PlacementState(engines.minus(target), wishes, loads, accruedAtMillis, plannedAtMillis);
    }

    PlacementState with(PlacementWish wish, long nowMillis) {
        return new PlacementState(engines, wishes.plus(wish, nowMillis), loads, accruedAtMillis, plannedAtMillis);
    }

    PlacementState without(PlacementWish wish) {
        return new PlacementState(engines, wishes.minus(wish), loads, accruedAtMillis, plannedAtMillis);
    }

    PlacementState accrue(double loadsPerSecond, double burst, long nowMillis) {
        double accrued = loadsPerSecond * Math.max(0, nowMillis - accruedAtMillis) / 1_000;
        return new PlacementState(engines, wishes, Math.min(burst, loads + accrued), nowMillis, nowMillis);
    }

    PlacementState spendLoad() {
        return new PlacementState(engines, wishes, loads - 1, accruedAtMillis, plannedAtMillis);
    }
}
