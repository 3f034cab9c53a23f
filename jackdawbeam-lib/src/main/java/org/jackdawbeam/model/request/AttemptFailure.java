package org.jackdawbeam.model.request;

/** Reason why an attempt of a request failed. */
public enum AttemptFailure {
    /** No connection could be opened. */
    CONNECT_FAILED,
    /** The target responded that it did not start the request. */
    REJECTED,
    /** The target responded with a server error. */
    SERVER_ERROR,
    /** The target did not respond in time. */
    TIMED_OUT,
    /** The connection was lost before the response was complete. */
    CONNECTION_LOST,
    /** The response violates the protocol. */
    MALFORMED_ANSWER,
    /** The head of a response contains another one, so that its parts may belong to different requests. */
    MERGED_ANSWER,
    /** A response that names no request came on a connection in use again; it may belong to an earlier request. */
    UNIDENTIFIED_ANSWER,
    /** A success came without the target's signature. */
    UNSIGNED_ANSWER,
    /** The target sent more than a head, or an event of a stream, may have. */
    OVERSIZED_ANSWER,
    /** Another response came before the response to the request had ended. */
    REPEATED_ANSWER,
    /** The time limit for sending passed before the connection was ready; nothing was sent. */
    PERMISSION_ENDED
}
