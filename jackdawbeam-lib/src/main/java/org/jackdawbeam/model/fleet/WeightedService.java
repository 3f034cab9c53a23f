package org.jackdawbeam.model.fleet;

/**
 * A service and its share of the requests of a route.
 *
 * @param weight relative weight, not negative
 */
public record WeightedService(String service, double weight) {}
