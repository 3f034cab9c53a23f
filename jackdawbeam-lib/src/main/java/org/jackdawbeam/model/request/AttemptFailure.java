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
    /** The time limit for sending passed before the connection was ready; nothing was sent. */
    PERMISSION_ENDED
}
