package org.jackdawbeam.model.fleet;

/** How often requests of a route may be executed. */
public enum RouteKind {
    /** May be executed any number of times. */
    SAFE,
    /** Must be executed at most once. */
    UNSAFE,
    /** Answered by an event stream; executed at most once unless the route is resumable. */
    STREAMING
}
