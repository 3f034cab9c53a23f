package org.jackdawbeam.soak;

/**
 * One fault of a soak run.
 *
 * @param atMillis start time, relative to the start of the callers
 * @param number selects the entry or target, modulo their count
 * @param durationMillis duration
 */
public record Fault(long atMillis, FaultKind kind, int number, long durationMillis) {}
