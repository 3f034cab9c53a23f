package org.jackdawbeam.logic.quarantine;

/**
 * One start of an engine.
 *
 * @param startedAtMillis Unix time of the start
 */
public record Incarnation(String target, long startedAtMillis) {}
