package org.jackdawbeam.bench.harness;

/** The size of a request, by which large and small ones are compared. */
public final class RequestSize {
    private static final long OUTPUT_TOKEN_WEIGHT = 10; // a generated token takes about as long as ten read ones

    private RequestSize() {}

    /** Returns the size of a request in prompt tokens. */
    public static long of(long inputTokens, long outputTokens) {
        return inputTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
    }
}
