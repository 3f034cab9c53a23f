package org.jackdawbeam.logic.entry;

/** Phase of a planned stop. */
public sealed interface StopPhase {

    /** The entry serves normally. */
    record Serving() implements StopPhase {}

    /** The entry is no longer advertised to callers and serves requests that still arrive. */
    record Draining(long sinceMillis) implements StopPhase {}

    /** The entry has finished all requests and leaves the membership. */
    record Leaving(long sinceMillis) implements StopPhase {}
}
