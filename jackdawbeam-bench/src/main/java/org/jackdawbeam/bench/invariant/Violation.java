package org.jackdawbeam.bench.invariant;

/**
 * A violation of an invariant.
 *
 * @param atMillis simulated time at which the violation was detected
 * @param invariant violated invariant
 * @param details description of the violation
 */
public record Violation(double atMillis, Invariant invariant, String details) {}
