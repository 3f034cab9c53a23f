package org.jackdawbeam.model.fleet;

/** Feeds of the platform's store that an entry follows. */
public enum Feed {
    /** The configuration set by the operator. */
    CONFIGURATION,
    /** The list of targets. */
    TARGETS,
    /** The entry hosts. */
    MEMBERS,
    /** The quarantined prompt parts; read once after the start. */
    QUARANTINE
}
