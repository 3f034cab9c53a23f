package org.jackdawbeam.bench.invariant;

/** Invariants that must hold at all times, or at the end of a run after all faults have ended. */
public enum Invariant {
    MEMORY_NOT_OVERCOMMITTED,
    RATE_AND_BURST,
    SHARES_ADD_UP,
    AT_MOST_ONCE,
    NOT_RUN_IS_TRUE,
    ONE_ANSWER_FOR_EACH_REQUEST,
    VERSION_NEVER_REVERTS,
    WITHDRAWN_KEY_STOPS,
    LEAVING_TARGET_GETS_NOTHING,
    CONFIGURATION_EVERYWHERE,
    EVERY_MODEL_REACHABLE,
    EVERY_REQUEST_ENDS
}
