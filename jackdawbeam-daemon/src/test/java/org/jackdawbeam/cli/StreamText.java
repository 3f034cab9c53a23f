package org.jackdawbeam.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.jackdawbeam.net.codec.MessageMapper;

/** Concatenates the text of the events of a completion stream. */
final class StreamText {
    private static final String DATA = "data: ";

    private StreamText() {}

    static String of(String stream) {
        StringBuilder text = new StringBuilder();
        stream.lines()
                .filter(line -> line.startsWith(DATA + "{"))
                .map(line -> line.substring(DATA.length()).getBytes(StandardCharsets.UTF_8))
                .map(json -> MessageMapper.json().read(json, JsonNode.class))
                .forEach(event ->
                        text.append(event.path("choices").path(0).path("text").asText()));
        return text.toString();
    }
}
