package org.jackdawbeam.model.request;

/** Why one try of a request failed. */
public enum AttemptFailure {
    /** No connection could be opened. */
    CONNECT_FAILED,
    /** The target answered that it did not start the request. */
    REJECTED,
    /** The target answered with a server error. */
    SERVER_ERROR,
    /** The target was silent for too long. */
    TIMED_OUT,
    /** The connection ended before the answer was complete. */
    CONNECTION_LOST,
    /** The answer violates the protocol. */
    MALFORMED_ANSWER,
    /** The permission to send ended before a connection stood; nothing was sent. */
    PERMISSION_ENDED
}
