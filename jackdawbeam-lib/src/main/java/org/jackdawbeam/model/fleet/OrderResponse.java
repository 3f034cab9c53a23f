package org.jackdawbeam.model.fleet;

/** Response of an engine to an order. */
public enum OrderResponse {
    /** The engine is executing the order. */
    ACCEPTED,
    /** The requested state already holds. */
    HOLDS,
    /** Another order is in progress, or the order count differs. */
    CONFLICT,
    /** The engine has seen a higher fencing token. */
    FENCED,
    /** The address belongs to another engine, or the engine rejects the order. */
    REJECTED,
    /** No response was received; the order may still be executed. */
    UNKNOWN
}
