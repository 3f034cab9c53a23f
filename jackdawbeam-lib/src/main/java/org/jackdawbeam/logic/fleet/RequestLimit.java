package org.jackdawbeam.logic.fleet;

/**
 * Number of requests that a target accepts from all entries together, as it stated with an answer.
 *
 * @param heardAtMillis when the target last stated it, to this entry or another
 */
record RequestLimit(double requestsPerSecond, long heardAtMillis) {}
