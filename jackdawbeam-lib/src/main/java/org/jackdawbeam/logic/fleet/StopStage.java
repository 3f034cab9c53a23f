package org.jackdawbeam.logic.fleet;

/** How far a planned stop has come. */
public sealed interface StopStage {

    /** No stop was asked for. */
    record Serving() implements StopStage {}

    /** Serves callers that may still hold this entry's address. */
    record Leaving(long sinceMillis) implements StopStage {}

    /** Takes nothing new and finishes what runs. */
    record Draining(long sinceMillis) implements StopStage {}

    /** All is done. */
    record Stopped() implements StopStage {}
}
