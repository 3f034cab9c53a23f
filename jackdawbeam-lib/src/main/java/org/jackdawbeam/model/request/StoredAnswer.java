package org.jackdawbeam.model.request;

/**
 * A complete response of a plain service, stored for replay.
 *
 * @param status HTTP status code
 * @param contentType value of the Content-Type header
 * @param body response body in Base64, so that every codec preserves it
 */
public record StoredAnswer(int status, String contentType, String body) {
    /** Returns whether the status is one of HTTP (RFC 9110, section 15). */
    public boolean hasValidStatus() {
        return status >= 100 && status <= 599;
    }
}
