package org.jackdawbeam.logic.fleet;

/** Whether the store knows of this entry. */
public enum Announcement {
    PENDING,
    SENT,
    CONFIRMED
}
