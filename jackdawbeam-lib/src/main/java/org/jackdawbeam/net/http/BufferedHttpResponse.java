package org.jackdawbeam.net.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A complete response to a request of a {@link BufferedHttpClient}.
 *
 * @param status HTTP status code
 * @param contentType value of the Content-Type header, or an empty string
 * @param headers header values by lower-case name
 * @param body the body; callers must not modify the array
 */
public record BufferedHttpResponse(int status, String contentType, Map<String, String> headers, byte[] body) {

    /** Creates a response without headers other than the content type. */
    public BufferedHttpResponse(int status, String contentType, byte[] body) {
        this(status, contentType, Map.of(), body);
    }

    /** Returns whether the status code is 2xx. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }

    /** Returns the body decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
