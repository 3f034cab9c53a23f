package org.jackdawbeam.model.fleet;

import java.util.List;

/**
 * Routing rule for requests with a given host and path prefix.
 *
 * @param timeoutMillis maximum time that a caller waits
 * @param objectiveMillis latency objective for the response, or for the first event of a stream
 * @param priority priority, 0 is the highest
 * @param maximumAttempts maximum number of targets that may execute one request
 * @param open whether no key is needed
 * @param resumable whether a stream may be continued by another engine
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        int maximumAttempts,
        boolean open,
        boolean resumable,
        List<WeightedService> services) {

    /** Returns whether a request may be repeated after a target may have executed it. */
    public boolean repeatable() {
        return kind == RouteKind.SAFE || kind == RouteKind.STREAMING && resumable;
    }
}
