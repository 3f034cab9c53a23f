package org.jackdawbeam.net.target;

import java.util.Arrays;

/**
 * The number of a connection, for the log, and the ids of the requests that it has carried. A target may answer a
 * request a second time, long after the first, and only the id tells the late answer from the answer to the request
 * that is sent now. So a connection must not carry the same id twice. Ids are kept as hashes; a collision only means
 * that another connection is used.
 */
final class CarriedRequests {
    private static final int MAXIMUM_REQUESTS = 256; // a new connection costs little, and ids cost memory

    private final long connectionNumber;
    private int[] hashes = new int[4];
    private int count;

    CarriedRequests(long connectionNumber) {
        this.connectionNumber = connectionNumber;
    }

    long connectionNumber() {
        return connectionNumber;
    }

    int count() {
        return count;
    }

    void add(String requestId) {
        if (count == hashes.length) {
            hashes = Arrays.copyOf(hashes, 2 * count);
        }
        hashes[count] = requestId.hashCode();
        count++;
    }

    boolean mayContain(String requestId) {
        int hash = requestId.hashCode();
        for (int index = 0; index < count; index++) {
            if (hashes[index] == hash) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether there were several requests. */
    boolean isRepeated() {
        return count > 1;
    }

    boolean isFull() {
        return count >= MAXIMUM_REQUESTS;
    }
}
