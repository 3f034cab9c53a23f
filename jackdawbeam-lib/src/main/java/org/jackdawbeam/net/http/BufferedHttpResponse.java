package org.jackdawbeam.net.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A whole answer to an {@link BufferedHttpClient}.
 *
 * @param status HTTP status code
 * @param contentType value of the Content-Type header, or an empty string
 * @param headers headers by lower-case name
 * @param body the body; must not be changed
 */
public record BufferedHttpResponse(int status, String contentType, Map<String, String> headers, byte[] body) {

    /** Creates an answer of whose headers only the content type matters. */
    public BufferedHttpResponse(int status, String contentType, byte[] body) {
        this(status, contentType, Map.of(), body);
    }

    /** Returns whether the status is in the 200 class. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }

    /** Returns the body as text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
