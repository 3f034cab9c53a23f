package org.jackdawbeam.logic.budget;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Limits on what a process holds for all clients together.
 *
 * @param bytes memory for heads, bodies, pipelined requests and unread answers
 * @param connections open connections, those to targets and to other entries included
 */
public record BudgetLimits(long bytes, int connections) {
    private static final double HEAP_SHARE = 0.35;
    /** Share of the memory beside the heap; what is sent is copied there from the heap. */
    private static final double OTHER_MEMORY_SHARE = 0.5;

    private static final long MINIMUM_BYTES = 16L * 1024 * 1024;
    /** Descriptors for files, for listening, and for connections that are being opened. */
    private static final int RESERVED_DESCRIPTORS = 300;

    private static final int MINIMUM_CONNECTIONS = 64;
    /** A connection that holds no more than this may use the whole budget. */
    private static final long SMALL_BYTES = 32 * 1024;

    private static final double SHARE_OF_LARGE = 0.8;

    /** Returns limits that nothing exceeds. */
    public static BudgetLimits unlimited() {
        return new BudgetLimits(Long.MAX_VALUE, Integer.MAX_VALUE);
    }

    /**
     * Returns the limits of a process.
     *
     * @param heapBytes maximum size of the heap
     * @param memoryBytes memory of the host, if it is known
     * @param descriptors descriptors that the process may open, if their number is known
     */
    public static BudgetLimits of(long heapBytes, OptionalLong memoryBytes, OptionalInt descriptors) {
        double ofHeap = heapBytes * HEAP_SHARE;
        double ofOther =
                memoryBytes.isPresent() ? (memoryBytes.getAsLong() - heapBytes) * OTHER_MEMORY_SHARE : Double.MAX_VALUE;
        int connections = descriptors.isPresent()
                ? Math.max(MINIMUM_CONNECTIONS, descriptors.getAsInt() - RESERVED_DESCRIPTORS)
                : Integer.MAX_VALUE;
        return new BudgetLimits(Math.max(MINIMUM_BYTES, (long) Math.min(ofHeap, ofOther)), connections);
    }

    /** Returns whether a connection may hold so much. The last fifth is left to connections that hold little. */
    public boolean allows(long totalBytes, long connectionBytes) {
        return totalBytes <= (connectionBytes <= SMALL_BYTES ? bytes : bytes * SHARE_OF_LARGE);
    }
}
