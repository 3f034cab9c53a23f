package org.jackdawbeam.model.fleet;

/**
 * How the targets of a service warm up.
 *
 * @param coldMillis time for which a target is cold after its start
 * @param requestsPerSecond requests that a cold target tolerates from all entries together
 */
public record WarmUp(long coldMillis, double requestsPerSecond) {}
