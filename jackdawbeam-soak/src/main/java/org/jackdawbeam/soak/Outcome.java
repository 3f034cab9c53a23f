package org.jackdawbeam.soak;

import java.util.Map;

/** How a request ended as its caller saw it. */
sealed interface Outcome {
    /**
     * An answer whose end was seen.
     *
     * @param headers by name in lower case
     */
    record Answered(int status, Map<String, String> headers, String body) implements Outcome {}

    /** The connection ended before the answer did. */
    record Broken(boolean headSeen) implements Outcome {}

    /** No connection came about. */
    record Unreachable() implements Outcome {}

    /** The caller waited for as long as it may and left. */
    record GivenUp() implements Outcome {}
}
