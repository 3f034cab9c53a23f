package org.jackdawbeam.model.fleet;

/**
 * A service and the share of a route's requests that it gets.
 *
 * @param weight relative weight, not negative
 */
public record WeightedService(String service, double weight) {}
