package org.jackdawbeam.net.http;

import org.jackdawbeam.model.refusal.RefusalCode;

/** Reasons for which the server rejects a request before it reaches the handler. */
public enum HttpRequestError {
    MALFORMED(400, RefusalCode.MALFORMED_REQUEST, "the request is not valid HTTP"),
    HEADERS_TOO_LARGE(431, RefusalCode.REQUEST_TOO_LARGE, "the request line or headers are too large"),
    BODY_TOO_LARGE(413, RefusalCode.REQUEST_TOO_LARGE, "the body is too large"),
    EXPECTATION_UNSUPPORTED(417, RefusalCode.MALFORMED_REQUEST, "the expectation is not supported"),
    OVERLOADED(503, RefusalCode.NO_CAPACITY, "too much is held for unfinished requests"),
    TOO_SLOW(408, RefusalCode.REQUEST_TIMEOUT, "the request did not arrive in time");

    private final int status;
    private final RefusalCode code;
    private final String message;

    HttpRequestError(int status, RefusalCode code, String message) {
        this.status = status;
        this.code = code;
        this.message = message;
    }

    /** Returns the HTTP status code. */
    public int status() {
        return status;
    }

    /** Returns the JSON body of the error response. */
    public String body() {
        return "{\"error\":{\"code\":\"" + code + "\",\"message\":\"" + message + "\",\"ran\":\"no\"}}";
    }
}
