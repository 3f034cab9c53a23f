package org.jackdawbeam.model.fleet;

/** How an engine answered an order. */
public enum OrderResponse {
    /** It is being carried out. */
    ACCEPTED,
    /** What it asks for holds already. */
    HOLDS,
    /** Another order is under way, or the count differs. */
    CONFLICT,
    /** A holder with a higher fencing token has been there. */
    FENCED,
    /** The engine is another one, or rejects the order. */
    REJECTED,
    /** No answer; it may still be carried out. */
    UNKNOWN
}
