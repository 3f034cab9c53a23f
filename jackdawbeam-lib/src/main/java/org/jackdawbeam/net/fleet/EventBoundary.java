package org.jackdawbeam.net.fleet;

import io.netty.buffer.ByteBuf;

/** Tells whether a stream of server-sent events ends at the end of an event, without keeping its bytes. */
final class EventBoundary {
    private static final int LINE_ENDS_AFTER_EVENT = 2; // of its last line, and of the blank line

    private boolean empty = true;
    private int lineEnds;

    /** Adds the next bytes of the stream; the buffer is not changed. */
    void add(ByteBuf bytes) {
        empty &= !bytes.isReadable();
        int found = 0;
        for (int index = bytes.writerIndex() - 1; index >= bytes.readerIndex(); index--) {
            byte next = bytes.getByte(index);
            if (next != '\n' && next != '\r') {
                lineEnds = found;
                return;
            }
            found += next == '\n' ? 1 : 0;
        }
        lineEnds += found;
    }

    /** Returns whether an event has begun and not ended. */
    boolean isInsideEvent() {
        return !empty && lineEnds < LINE_ENDS_AFTER_EVENT;
    }
}
