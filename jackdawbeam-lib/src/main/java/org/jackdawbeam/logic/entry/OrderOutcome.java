package org.jackdawbeam.logic.entry;

/** Outcome of an order to an engine. */
public enum OrderOutcome {
    /** The engine executed the order. */
    DONE,
    /** The engine answered that it did not execute the order. */
    REFUSED,
    /** It is not known whether the engine executed the order. */
    UNKNOWN
}
