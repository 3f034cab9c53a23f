package org.jackdawbeam.model.fleet;

/** What an entry follows in the platform's store. */
public enum Feed {
    /** The operator's configuration. */
    CONFIGURATION,
    /** The list of targets. */
    TARGETS,
    /** The entry hosts. */
    MEMBERS
}
