package org.jackdawbeam.bench.fleet;

/** Invariants of a fleet that must hold under any failure. */
public enum FleetInvariant {
    /** No order exceeds the memory or the adapter slots of an engine. */
    ENGINE_FITS,
    /** All orders with the same fencing token come from the same entry. */
    ONE_HOLDER_PER_TOKEN,
    /** Two holders never send orders to an engine that does not check fencing tokens within the required gap. */
    HOLDERS_KEEP_THE_GAP,
    /** A non-repeatable request is executed at most once. */
    ONCE_AT_MOST,
    /** A non-repeatable request that was refused as not executed is never executed. */
    TRUE_REFUSAL,
    /** No request is executed if its key was withdrawn longer than the allowed time before it was sent. */
    WITHDRAWN_KEY,
    /** No engine of an evacuated zone executes a request later than the limit allows. */
    EVACUATED_ZONE,
    /** No workspace exceeds its rate, burst and the allowed slack in any window. */
    RATE,
    /** Every entry serves every model again after all failures have ended. */
    RECOVERY
}
