package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.List;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * State that the placement leader keeps.
 *
 * @param engines known state of engines by target id
 * @param wishes requested adapters
 * @param reservations models for which engines are making room, by target id
 * @param unanswered orders to load that have not been answered, by target id
 * @param retiredSince by target id, the models that it holds and the configuration does not have, and since when
 * @param trend demand for models
 * @param availableLoads number of loads from the weight store that may start now
 * @param accruedAtMillis time up to which available loads have been accrued
 * @param plannedAtMillis when replicas were last planned
 */
public record PlacementState(
        PMap<String, EngineState> engines,
        PMap<AdapterWish.Id, AdapterWish> wishes,
        PMap<String, Reservation> reservations,
        PMap<String, List<UnansweredOrder>> unanswered,
        PMap<String, PMap<String, Long>> retiredSince,
        DemandTrend trend,
        double availableLoads,
        long accruedAtMillis,
        long plannedAtMillis) {

    /** Reserves the room that an engine has been making for a model since the given time. */
    record Reservation(String model, long sinceMillis) {}

    static PlacementState empty() {
        return forNewLeader(0);
    }

    /** Returns the state of a new leader, which assumes that its predecessor has used up all available loads. */
    static PlacementState forNewLeader(long nowMillis) {
        return new PlacementState(
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                DemandTrend.none(),
                0,
                nowMillis,
                0);
    }

    PlacementState with(String target, EngineState engineState) {
        return withEngines(engines.plus(target, engineState));
    }

    PlacementState without(String target) {
        return withEngines(engines.minus(target))
                .withReservations(reservations.minus(target))
                .withRetired(target, HashTreePMap.empty());
    }

    PlacementState with(AdapterWish wish) {
        return withWishes(wishes.plus(wish.id(), wish));
    }

    PlacementState without(AdapterWish wish) {
        return withWishes(wishes.minus(wish.id()));
    }

    PlacementState withReservations(PMap<String, Reservation> changed) {
        return new PlacementState(
                engines,
                wishes,
                changed,
                unanswered,
                retiredSince,
                trend,
                availableLoads,
                accruedAtMillis,
                plannedAtMillis);
    }

    /** Adds an order that has just been sent, and drops those that the engine cannot execute any more. */
    PlacementState withSent(EngineOrder order, long nowMillis) {
        List<UnansweredOrder> pending = new ArrayList<>(unanswered.getOrDefault(order.target(), List.of()));
        pending.removeIf(earlier -> earlier.isOver(nowMillis));
        pending.add(new UnansweredOrder(order, nowMillis));
        return withUnanswered(unanswered.plus(order.target(), List.copyOf(pending)));
    }

    /** Removes an order whose answer tells whether the engine executes it. */
    PlacementState withoutSent(EngineOrder order) {
        List<UnansweredOrder> pending = unanswered.getOrDefault(order.target(), List.of()).stream()
                .filter(earlier -> !earlier.order().equals(order))
                .toList();
        return withUnanswered(
                pending.isEmpty() ? unanswered.minus(order.target()) : unanswered.plus(order.target(), pending));
    }

    PlacementState with(DemandTrend changed) {
        return new PlacementState(
                engines,
                wishes,
                reservations,
                unanswered,
                retiredSince,
                changed,
                availableLoads,
                accruedAtMillis,
                plannedAtMillis);
    }

    /** Replaces the retired models that an engine holds. */
    PlacementState withRetired(String target, PMap<String, Long> retired) {
        PMap<String, PMap<String, Long>> changed =
                retired.isEmpty() ? retiredSince.minus(target) : retiredSince.plus(target, retired);
        return new PlacementState(
                engines,
                wishes,
                reservations,
                unanswered,
                changed,
                trend,
                availableLoads,
                accruedAtMillis,
                plannedAtMillis);
    }

    PlacementState accrue(double loadsPerSecond, double burst, long nowMillis) {
        double accrued = loadsPerSecond * Math.max(0, nowMillis - accruedAtMillis) / 1_000;
        return new PlacementState(
                engines,
                wishes,
                reservations,
                unanswered,
                retiredSince,
                trend,
                Math.min(burst, availableLoads + accrued),
                nowMillis,
                nowMillis);
    }

    PlacementState spendLoad() {
        return new PlacementState(
                engines,
                wishes,
                reservations,
                unanswered,
                retiredSince,
                trend,
                availableLoads - 1,
                accruedAtMillis,
                plannedAtMillis);
    }

    private PlacementState withUnanswered(PMap<String, List<UnansweredOrder>> changed) {
        return new PlacementState(
                engines,
                wishes,
                reservations,
                changed,
                retiredSince,
                trend,
                availableLoads,
                accruedAtMillis,
                plannedAtMillis);
    }

    private PlacementState withEngines(PMap<String, EngineState> changed) {
        return new PlacementState(
                changed,
                wishes,
                reservations,
                unanswered,
                retiredSince,
                trend,
                availableLoads,
                accruedAtMillis,
                plannedAtMillis);
    }

    private PlacementState withWishes(PMap<AdapterWish.Id, AdapterWish> changed) {
        return new PlacementState(
                engines,
                changed,
                reservations,
                unanswered,
                retiredSince,
                trend,
                availableLoads,
                accruedAtMillis,
                plannedAtMillis);
    }
}
