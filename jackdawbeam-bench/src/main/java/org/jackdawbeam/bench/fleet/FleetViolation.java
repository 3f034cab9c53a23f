package org.jackdawbeam.bench.fleet;

/**
 * A violation of a fleet invariant.
 *
 * @param atMillis simulated time at which the violation was detected
 * @param details description of the violation
 */
public record FleetViolation(double atMillis, FleetInvariant invariant, String details) {}
