package org.jackdawbeam.bench.fleet;

/** What must hold in a fleet at any time, whatever fails. */
public enum FleetInvariant {
    /** No engine is ordered to hold more than fits. */
    ENGINE_FITS,
    /** Orders with one fencing token come from one entry. */
    ONE_HOLDER_PER_TOKEN,
    /** Where engines do not check tokens, two holders never give orders to one engine within the stated gap. */
    HOLDERS_KEEP_THE_GAP,
    /** A request that may run once never runs twice. */
    ONCE_AT_MOST,
    /** A request that was refused as not run has not run and never runs. */
    TRUE_REFUSAL,
    /** No request runs whose key was withdrawn longer ago than the stated time. */
    WITHDRAWN_KEY,
    /** No workspace runs more units in a window than its rate, burst and the stated slack. */
    RATE,
    /** After all failures have ended, every entry serves every model again. */
    RECOVERY
}
