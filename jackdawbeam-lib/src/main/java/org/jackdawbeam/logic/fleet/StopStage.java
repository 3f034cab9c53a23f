package org.jackdawbeam.logic.fleet;

/** Stage of a graceful shutdown. */
public sealed interface StopStage {

    /** No stop was requested. */
    record Serving() implements StopStage {}

    /** Still serves callers that may have cached this entry's address. */
    record Leaving(long sinceMillis) implements StopStage {}

    /** Accepts no new connections and finishes running requests. */
    record Draining(long sinceMillis) implements StopStage {}

    /** The shutdown is complete. */
    record Stopped() implements StopStage {}
}
