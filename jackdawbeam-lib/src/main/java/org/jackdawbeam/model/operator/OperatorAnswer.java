package org.jackdawbeam.model.operator;

/** Response to a configuration change by an operator. */
public sealed interface OperatorAnswer {

    /**
     * The change is in the log and applied on this entry.
     *
     * @param version version of the active bundle
     */
    record Applied(long version) implements OperatorAnswer {}

    /** The change is applied on this entry and the reachable peers; the log has not confirmed it yet. */
    record AppliedHere() implements OperatorAnswer {}

    /**
     * Another change took precedence.
     *
     * @param version version of the active bundle
     */
    record Conflict(long version) implements OperatorAnswer {}

    /** The signature was not made with an operator key. */
    record BadSignature() implements OperatorAnswer {}
}
