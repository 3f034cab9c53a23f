package org.jackdawbeam.model.refusal;

/** Whether a refused request may have been executed by a target. */
public enum ExecutionStatus {
    /** No byte of the request was written to any target. */
    NO,
    /** A target may have executed the request. */
    UNKNOWN
}
