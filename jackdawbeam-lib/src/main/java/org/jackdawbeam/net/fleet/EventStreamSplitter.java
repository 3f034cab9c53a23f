package org.jackdawbeam.net.fleet;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Splits a stream of server-sent events into complete events and tracks the id of the last one. */
final class EventStreamSplitter implements AutoCloseable {
    private static final String ID_FIELD = "id:";
    private static final int MAXIMUM_EVENT_BYTES = 256 * 1024; // an event holds a few tokens

    private final ByteBuf pending;
    private Optional<String> lastId;

    EventStreamSplitter(ByteBufAllocator allocator, Optional<String> lastId) {
        this.pending = allocator.buffer();
        this.lastId = lastId;
    }

    /** Adds bytes and returns the events that are now complete, possibly none; the caller must release the buffer. */
    ByteBuf add(ByteBuf bytes) {
        pending.writeBytes(bytes);
        int length = lengthOfCompleteEvents();
        ByteBuf complete = pending.readBytes(length);
        pending.discardReadBytes();
        updateLastId(complete);
        return complete;
    }

    /** Returns the id of the last complete event that had one; empty if none had. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Returns whether an event has been received in part only. */
    boolean hasIncompleteEvent() {
        return pending.isReadable();
    }

    /** Returns whether the incomplete event exceeds the maximum size of an event. */
    boolean isTooLong() {
        return pending.readableBytes() > MAXIMUM_EVENT_BYTES;
    }

    @Override
    public void close() {
        pending.release();
    }

    private int lengthOfCompleteEvents() {
        for (int index = pending.writerIndex() - 1; index > pending.readerIndex(); index--) {
            boolean blankLine = pending.getByte(index) == '\n'
                    && (pending.getByte(index - 1) == '\n'
                            || index - 2 >= pending.readerIndex()
                                    && pending.getByte(index - 1) == '\r'
                                    && pending.getByte(index - 2) == '\n');
            if (blankLine) {
                return index + 1 - pending.readerIndex();
            }
        }
        return 0;
    }

    private void updateLastId(ByteBuf events) {
        for (String line : events.toString(StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                lastId = Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
    }
}
