package org.jackdawbeam.net.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private static final String STREAM = "data: {\"n\":1}\n\ndata: {\"n\":2}\n\n: comment\n\ndata: [DONE]\n\n";

    @Property(tries = 200, seed = "42")
    void anyChunkingOfTheBytesYieldsTheSameCompleteEvents(
            @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 20) Integer> chunkSizes) {
        StringBuilder relayed = new StringBuilder();
        try (EventSplitter splitter = new EventSplitter(UnpooledByteBufAllocator.DEFAULT)) {
            int position = 0;
            for (int chunkSize : chunkSizes) {
                int end = Math.min(STREAM.length(), position + chunkSize);
                relayed.append(add(splitter, STREAM.substring(position, end)));
                assertThat(relayed.toString()).matches(text -> text.isEmpty() || text.endsWith("\n\n"));
                position = end;
            }
            relayed.append(add(splitter, STREAM.substring(position)));

            assertThat(relayed).hasToString(STREAM);
            assertThat(splitter.tokens()).isEqualTo(2);
            assertThat(splitter.isDone()).isTrue();
        }
    }

    @Test
    void incompleteEventIsBuffered() {
        try (EventSplitter splitter = new EventSplitter(UnpooledByteBufAllocator.DEFAULT)) {
            assertThat(add(splitter, "data: {\"n\":1}\n\ndata: {\"n")).isEqualTo("data: {\"n\":1}\n\n");
            assertThat(splitter.tokens()).isEqualTo(1);
            assertThat(splitter.isDone()).isFalse();
        }
    }

    private static String add(EventSplitter splitter, String text) {
        ByteBuf events = splitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        try {
            return events.toString(StandardCharsets.UTF_8);
        } finally {
            events.release();
        }
    }
}
