package org.jackdawbeam.bench.fleet;

/**
 * A broken invariant of a fleet.
 *
 * @param atMillis time of the run at which it was seen
 * @param details what was seen
 */
public record FleetViolation(double atMillis, FleetInvariant invariant, String details) {}
