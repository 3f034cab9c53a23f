package org.jackdawbeam.soak;

/**
 * A request and its outcome as observed by the caller.
 *
 * @param entry name of the entry that received it
 * @param incarnation number of starts of the entry's process so far
 * @param keptConnection whether the connection was reused
 */
record Call(
        String requestId,
        RequestKind kind,
        String key,
        String entry,
        int incarnation,
        boolean keptConnection,
        long sentAtMillis,
        long endedAtMillis,
        Outcome outcome) {

    /** Identifies the process that the request was sent to by entry name and incarnation. */
    String run() {
        return entry + "/" + incarnation;
    }

    int status() {
        return outcome instanceof Outcome.Answered answered ? answered.status() : 0;
    }

    /** Returns whether the status guarantees that no target has executed the request or will execute it. */
    boolean promisesNoExecution() {
        return switch (status()) {
            case 408, 421, 429, 503 -> true;
            default -> false;
        };
    }
}
