package org.jackdawbeam.model.bundle;

/** Type of a target. */
public enum TargetKind {
    /** A model engine. */
    ENGINE,
    /** A plain HTTP service. */
    SERVICE
}
