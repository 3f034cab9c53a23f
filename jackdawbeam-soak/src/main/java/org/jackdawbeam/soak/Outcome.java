package org.jackdawbeam.soak;

import java.util.Map;

/** Outcome of a request as observed by the caller. */
sealed interface Outcome {
    /**
     * A complete response.
     *
     * @param headers by name in lower case
     */
    record Answered(int status, Map<String, String> headers, String body) implements Outcome {}

    /**
     * A response whose head or trailer is not valid HTTP.
     *
     * @param line the first line that is not valid
     */
    record Malformed(String line) implements Outcome {}

    /** The connection was closed before the end of the response. */
    record Broken(boolean headSeen) implements Outcome {}

    /** The connection could not be established. */
    record Unreachable() implements Outcome {}

    /** No complete response arrived before the read timeout of the caller. */
    record GivenUp() implements Outcome {}
}
