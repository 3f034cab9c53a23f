package org.jackdawbeam.net.http;

/**
 * Limits on the requests and connections of clients.
 *
 * @param maximumLineBytes maximum length of the request line
 * @param maximumHeaderBytes maximum size of the header section
 * @param maximumBodyBytes maximum size of the body
 * @param receiveMillis time from the first byte of a request until it must be complete
 * @param idleMillis time after which a connection without a pending request is closed
 */
public record HttpLimits(
        int maximumLineBytes, int maximumHeaderBytes, int maximumBodyBytes, long receiveMillis, long idleMillis) {

    /** Returns the limits of a daemon that is started without flags that change them. */
    public static HttpLimits defaults() {
        return new HttpLimits(8_192, 16_384, 1_048_576, 10_000, 60_000);
    }
}
