package org.jackdawbeam.logic.entry;

/** Order in which queued requests are dispatched to targets. */
public enum QueuePolicy {
    /** Workspaces share a pool in proportion to their rates. */
    FAIR_BY_RATE,
    /** Workspaces share a pool equally. */
    EQUAL_SPLIT,
    /** Requests are dispatched in the order of arrival. */
    FIRST_COME
}
