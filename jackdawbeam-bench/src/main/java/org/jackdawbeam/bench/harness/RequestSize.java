package org.jackdawbeam.bench.harness;

/** Computes the size of requests, by which large and small requests are compared. */
public final class RequestSize {
    private static final long OUTPUT_TOKEN_WEIGHT = 10; // generating a token takes about as long as reading ten

    private RequestSize() {}

    /** Returns the size of a request in prompt token equivalents. */
    public static long of(long inputTokens, long outputTokens) {
        return inputTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
    }
}
