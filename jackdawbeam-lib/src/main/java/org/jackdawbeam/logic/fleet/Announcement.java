package org.jackdawbeam.logic.fleet;

/** State of this entry's registration in the store. */
public enum Announcement {
    PENDING,
    SENT,
    CONFIRMED
}
