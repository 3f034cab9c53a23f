package org.jackdawbeam.net.target;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events at event boundaries, so that a caller never receives an incomplete event. Not
 * thread-safe.
 */
final class EventSplitter implements AutoCloseable {
    private static final byte[] DONE_LINE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

    private static final int MAXIMUM_EVENT_BYTES = 256 * 1024; // an event holds a few tokens

    private final ByteBuf pending;
    private long tokens;
    private boolean done;

    EventSplitter(ByteBufAllocator allocator) {
        this.pending = allocator.buffer();
    }

    /** Adds bytes and returns all events that are now complete, possibly none. The caller must release the buffer. */
    ByteBuf add(ByteBuf bytes) {
        pending.writeBytes(bytes);
        int end = lastEventEnd();
        if (end <= 0) {
            return pending.alloc().buffer(0);
        }
        int start = pending.readerIndex();
        countTokens(start, end);
        ByteBuf events = pending.readBytes(end - start);
        pending.discardReadBytes();
        return events;
    }

    /** Returns the number of {@code data} lines so far, not counting the end marker. Each counts as one token. */
    long tokens() {
        return tokens;
    }

    /** Returns whether the incomplete event exceeds the maximum size of an event. */
    boolean isTooLong() {
        return pending.readableBytes() > MAXIMUM_EVENT_BYTES;
    }

    /** Returns whether the end marker {@code [DONE]} has been received. */
    boolean isDone() {
        return done;
    }

    @Override
    public void close() {
        pending.release();
    }

    private int lastEventEnd() {
        for (int index = pending.writerIndex() - 1; index > pending.readerIndex(); index--) {
            if (pending.getByte(index) == '\n' && pending.getByte(index - 1) == '\n') {
                return index + 1;
            }
        }
        return 0;
    }

    private void countTokens(int start, int end) {
        int lineStart = start;
        while (lineStart < end) {
            int found = pending.forEachByte(lineStart, end - lineStart, ByteProcessor.FIND_LF);
            int lineEnd = found < 0 ? end : found;
            countLine(lineStart, lineEnd);
            lineStart = lineEnd + 1;
        }
    }

    private void countLine(int start, int end) {
        if (startsWith(start, end, DONE_LINE)) {
            done = true;
        } else if (startsWith(start, end, DATA_FIELD)) {
            tokens++;
        }
    }

    private boolean startsWith(int start, int end, byte[] prefix) {
        if (end - start < prefix.length) {
            return false;
        }
        for (int index = 0; index < prefix.length; index++) {
            if (pending.getByte(start + index) != prefix[index]) {
                return false;
            }
        }
        return true;
    }
}
