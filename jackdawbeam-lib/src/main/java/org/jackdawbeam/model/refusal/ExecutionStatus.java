package org.jackdawbeam.model.refusal;

/** Whether a refused request may have been executed by a target. */
public enum ExecutionStatus {
    /** Not executed: no byte of the request was written to a target. */
    NO,
    /** A target may have executed the request. */
    UNKNOWN
}
