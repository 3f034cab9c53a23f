package org.jackdawbeam.logic.entry;

import org.jackdawbeam.logic.placement.Demand;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What placement remembers between decisions.
 *
 * @param demand demand by model that arrived here
 * @param plannedAtMillis time of the last decision
 * @param loadTokens model loads that the store's rate allows now
 * @param sentOrders orders given by this run, by target
 * @param reportsValidFrom time from which the load reports of an engine tell what is resident, after an order whose
 *     outcome was unknown was fenced off
 */
public record PlacementState(
        Demand demand,
        long plannedAtMillis,
        double loadTokens,
        PMap<String, SentOrder> sentOrders,
        PMap<String, Long> reportsValidFrom) {

    /**
     * An order whose outcome is open.
     *
     * @param sequence number of the order at its target
     * @param firstSeenMillis when this run first saw the order in the log
     * @param outcomeUnknown whether the engine failed to answer
     */
    public record SentOrder(long sequence, long firstSeenMillis, boolean outcomeUnknown) {}

    /** Returns the state of an entry that has decided nothing. */
    public static PlacementState starting(long nowMillis) {
        return new PlacementState(Demand.none(), nowMillis, 0, HashTreePMap.empty(), HashTreePMap.empty());
    }

    PlacementState withDemand(Demand newDemand) {
        return new PlacementState(newDemand, plannedAtMillis, loadTokens, sentOrders, reportsValidFrom);
    }

    PlacementState planned(long nowMillis, double newLoadTokens) {
        return new PlacementState(demand, nowMillis, newLoadTokens, sentOrders, reportsValidFrom);
    }

    PlacementState withSentOrder(String target, SentOrder order) {
        return new PlacementState(
                demand, plannedAtMillis, loadTokens, sentOrders.plus(target, order), reportsValidFrom);
    }

    PlacementState withoutSentOrder(String target) {
        return new PlacementState(demand, plannedAtMillis, loadTokens, sentOrders.minus(target), reportsValidFrom);
    }

    PlacementState withReportsValidFrom(String target, long millis) {
        return new PlacementState(
                demand, plannedAtMillis, loadTokens, sentOrders, reportsValidFrom.plus(target, millis));
    }
}
