package org.jackdawbeam.logic.placement;

/** Policy for placing models on engines. */
public sealed interface PlacementPolicy {

    /** Keeps the minimum number of replicas of each model; moves nothing unless a model has no replica. */
    record Static() implements PlacementPolicy {}

    /**
     * Keeps the minimum number of replicas and adds one for each model with waiting requests, in place of the least
     * recently used one.
     */
    record LeastRecentlyUsed() implements PlacementPolicy {}

    /** Keeps replicas in proportion to demand, with hysteresis, so that a move is worth the cost of the load. */
    record ByDemand() implements PlacementPolicy {}
}
