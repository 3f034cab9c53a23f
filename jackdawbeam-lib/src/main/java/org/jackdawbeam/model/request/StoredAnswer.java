package org.jackdawbeam.model.request;

/**
 * A complete response of a plain service, stored for replay.
 *
 * @param status HTTP status code
 * @param contentType value of the Content-Type header
 * @param body response body in Base64, so that every codec preserves it
 */
public record StoredAnswer(int status, String contentType, String body) {}
