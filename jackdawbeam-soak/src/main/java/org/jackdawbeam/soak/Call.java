package org.jackdawbeam.soak;

/**
 * A request as its caller saw it.
 *
 * @param entry name of the entry that it was sent to
 * @param incarnation which run of the entry's process that was
 * @param keptConnection whether the connection had been used before
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

    /** Returns the run of the entry's process that the request was sent to. */
    String run() {
        return entry + "/" + incarnation;
    }

    int status() {
        return outcome instanceof Outcome.Answered answered ? answered.status() : 0;
    }

    /** Returns whether the status promises that the request has not run and never will. */
    boolean promisesNoExecution() {
        return switch (status()) {
            case 408, 421, 429, 503 -> true;
            default -> false;
        };
    }
}
