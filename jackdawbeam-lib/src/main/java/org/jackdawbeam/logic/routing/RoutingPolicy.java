package org.jackdawbeam.logic.routing;

/** Policy for choosing a target among those that can serve a request. */
public sealed interface RoutingPolicy {

    /** Chooses any candidate with equal probability. */
    record Random() implements RoutingPolicy {}

    /** Chooses the candidates in turn. */
    record RoundRobin() implements RoutingPolicy {}

    /** Chooses the candidate with the fewest requests of this entry in flight. */
    record LeastOutstanding() implements RoutingPolicy {}

    /** Draws two candidates at random and chooses the one with fewer requests of this entry in flight. */
    record TwoChoices() implements RoutingPolicy {}

    /**
     * Chooses the candidate with the lowest estimated time to first token.
     *
     * @param usesPrefixes whether to take the approximate prefix index into account
     * @param usesObservedLatency whether to correct the estimate by recently observed latency of the target
     */
    record EstimatedFirstToken(boolean usesPrefixes, boolean usesObservedLatency) implements RoutingPolicy {}
}
