package org.jackdawbeam.model.fleet;

/** What may happen to a request more than once. */
public enum RouteKind {
    /** May be executed any number of times. */
    SAFE,
    /** Must be executed at most once. */
    UNSAFE,
    /** Answered by a series of events; executed at most once unless the route is resumable. */
    STREAMING
}
