package org.jackdawbeam.model.fleet;

import java.util.List;

/**
 * How requests of one host and path prefix are served.
 *
 * @param timeoutMillis longest time that a caller is kept waiting
 * @param objectiveMillis time within which an answer, or the first event of a stream, is on time
 * @param priority rank, 0 is the highest
 * @param maximumAttempts number of targets that may execute one request
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

    /** Returns whether a target may execute a request again after it may have executed it. */
    public boolean repeatable() {
        return kind == RouteKind.SAFE || kind == RouteKind.STREAMING && resumable;
    }
}
