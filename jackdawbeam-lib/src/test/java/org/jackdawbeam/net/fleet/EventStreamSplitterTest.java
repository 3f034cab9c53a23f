package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class EventStreamSplitterTest {
    private static String add(EventStreamSplitter events, String text) {
        ByteBuf complete = events.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        String result = complete.toString(StandardCharsets.UTF_8);
        complete.release();
        return result;
    }

    private static EventStreamSplitter events() {
        return new EventStreamSplitter(UnpooledByteBufAllocator.DEFAULT, Optional.empty());
    }

    @Test
    void completeEventsAreReturned() {
        try (EventStreamSplitter events = events()) {
            assertThat(add(events, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
                    .isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            assertThat(events.lastId()).contains("2");
        }
    }

    @Test
    void incompleteEventIsHeldBackUntilItsEnd() {
        try (EventStreamSplitter events = events()) {
            assertThat(add(events, "id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
            assertThat(events.lastId()).contains("1");
            assertThat(events.hasIncompleteEvent()).isTrue();
            assertThat(add(events, "ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        }
    }

    @Test
    void crlfLineEndingsEndEventsToo() {
        try (EventStreamSplitter events = events()) {
            assertThat(add(events, "id: 7\r\ndata: a\r\n\r\n")).isEqualTo("id: 7\r\ndata: a\r\n\r\n");
            assertThat(events.lastId()).contains("7");
        }
    }
}
