package org.jackdawbeam.logic.routing;

/** How a target is chosen among those that can answer a request. */
public sealed interface RoutingPolicy {

    /** Any candidate with equal probability. */
    record Random() implements RoutingPolicy {}

    /** One candidate after the other. */
    record RoundRobin() implements RoutingPolicy {}

    /** The candidate with the fewest own requests in flight. */
    record LeastOutstanding() implements RoutingPolicy {}

    /** The better of two candidates drawn at random, by own requests in flight. */
    record TwoChoices() implements RoutingPolicy {}

    /**
     * The candidate with the smallest estimated time to the first token.
     *
     * @param usesPrefixes whether the approximate prefix index counts
     * @param usesObservedLatency whether what a target lately delivered counts beside what it reports
     */
    record EstimatedFirstToken(boolean usesPrefixes, boolean usesObservedLatency) implements RoutingPolicy {}
}
