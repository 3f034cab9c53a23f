package org.jackdawbeam.logic.entry;

import org.jackdawbeam.logic.placement.Demand;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * State that model placement keeps between decisions.
 *
 * @param demand demand by model of the requests that arrived at this entry
 * @param plannedAtMillis time of the last placement decision
 * @param loadTokens number of model loads that the rate limit of the store currently allows
 * @param sentOrders orders with an open outcome, by target
 * @param reportsValidFrom by engine, the time from which its load reports show reliably what is resident; set after an
 *     order with an unknown outcome has been fenced off
 */
public record PlacementState(
        Demand demand,
        long plannedAtMillis,
        double loadTokens,
        PMap<String, SentOrder> sentOrders,
        PMap<String, Long> reportsValidFrom) {

    /**
     * An order whose outcome is not resolved yet.
     *
     * @param sequence sequence number of the order at its target
     * @param firstSeenMillis time at which this run first saw the order in the log
     * @param outcomeUnknown whether the outcome is unknown: the engine did not answer, or this run did not send
     *     the order
     */
    public record SentOrder(long sequence, long firstSeenMillis, boolean outcomeUnknown) {}

    /** Returns the state of an entry that has made no placement decision yet. */
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
