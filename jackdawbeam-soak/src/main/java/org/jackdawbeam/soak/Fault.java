package org.jackdawbeam.soak;

/**
 * One disturbance of a soak.
 *
 * @param atMillis when it begins, from the start of the callers
 * @param number picks the entry or target; taken modulo their count
 * @param durationMillis how long it lasts
 */
public record Fault(long atMillis, FaultKind kind, int number, long durationMillis) {}
