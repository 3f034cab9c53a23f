package org.jackdawbeam.standin.fleet;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.HttpExchange;
import org.jackdawbeam.net.http.HttpExchangeHandler;

/** Emulates the platform's store: appends, long-polling reads, and the newest record of each key. */
public final class LogStoreStandIn implements HttpExchangeHandler {
    private static final long POLL_MILLIS = 10;
    private static final int OFFSET_BYTES = 8;
    private static final int LENGTH_BYTES = 4;

    private final LogTopics topics = new LogTopics();
    private final StoreFaults faults = new StoreFaults();
    private final MessageMapper json = MessageMapper.json();
    private final EventLoopGroup timers;
    private volatile long era;
    private volatile UnaryOperator<byte[]> recordRewrite = UnaryOperator.identity();

    public LogStoreStandIn(EventLoopGroup timers) {
        this.timers = timers;
    }

    /** Returns the faults of the store. */
    public StoreFaults faults() {
        return faults;
    }

    /** Appends a record to a keyed topic; an empty value deletes the key. */
    public void put(String topic, String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = ByteBuffer.allocate(1 + name.length + value.length)
                .put((byte) name.length)
                .put(name)
                .put(value)
                .array();
        topics.append(topic, List.of(content), Optional.empty());
    }

    /** Rewrites the records that entries append, so that tests can route connections through proxies. */
    public void rewriteAppendedRecords(UnaryOperator<byte[]> change) {
        recordRewrite = change;
    }

    /** Deletes the records of a topic, but not its index of the newest record of each key. */
    public void forgetHistory(String topic) {
        topics.forgetHistory(topic);
    }

    /** Returns a snapshot of the store for {@link #restore}. */
    public Map<String, List<byte[]>> snapshot() {
        return topics.snapshot();
    }

    /** Restores a snapshot and increments the era. */
    public void restore(Map<String, List<byte[]>> snapshot) {
        topics.restore(snapshot);
        era++;
    }

    /** Returns the offset after the newest record of a topic. */
    public long endOffset(String topic) {
        return topics.end(topic);
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (faults.isSilent()) {
            return;
        }
        if (faults.isRefusing()) {
            respond(exchange, 503, Map.of("error", "busy"));
            return;
        }
        Map<String, List<String>> query = new QueryStringDecoder(exchange.uri()).parameters();
        String topic = first(query, "topic").orElse("");
        switch (exchange.path()) {
            case "/v1/log-append" -> append(exchange, topic, first(query, "at").map(Long::parseLong));
            case "/v1/log-read" -> {
                long waitMillis = first(query, "waitMs").map(Long::parseLong).orElse(0L);
                read(exchange, topic, first(query, "from").map(Long::parseLong).orElse(0L), waitMillis);
            }
            case "/v1/log-newest" -> newest(exchange, topic);
            default -> respond(exchange, 404, Map.of("error", "no such call"));
        }
    }

    private void append(HttpExchange exchange, String topic, Optional<Long> at) {
        Optional<Long> offset = topics.append(
                topic, records(exchange.body()).stream().map(recordRewrite).toList(), at);
        if (faults.isLosingAnswers()) {
            exchange.abort();
            return;
        }
        Map<String, Object> body = offset.<Map<String, Object>>map(
                        first -> Map.of("offset", first, "end", topics.end(topic)))
                .orElseGet(() -> Map.of("end", topics.end(topic)));
        respond(exchange, offset.isPresent() ? 200 : 412, body);
    }

    private void read(HttpExchange exchange, String topic, long from, long waitMillis) {
        LogTopics.Read read = topics.read(topic, from);
        if (from < read.first() || from > read.end()) {
            respond(exchange, 410, Map.of("first", read.first()));
            return;
        }
        if (read.contents().isEmpty() && waitMillis > 0) {
            timers.schedule(
                    () -> read(exchange, topic, from, waitMillis - POLL_MILLIS), POLL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        int size = read.contents().stream()
                .mapToInt(content -> LENGTH_BYTES + content.length)
                .sum();
        ByteBuffer body = ByteBuffer.allocate(2 * OFFSET_BYTES + size);
        body.putLong(read.end()).putLong(read.first());
        read.contents().forEach(content -> body.putInt(content.length).put(content));
        exchange.respond(200, "application/octet-stream", body.array(), headers());
    }

    private void newest(HttpExchange exchange, String topic) {
        List<Map<String, Object>> items = new ArrayList<>();
        for (LogTopics.Newest item : topics.newest(topic)) {
            String value = Base64.getEncoder().encodeToString(item.value());
            items.add(Map.of("key", item.key(), "value", value, "offset", item.offset()));
        }
        respond(exchange, 200, Map.of("items", items, "hasMore", false, "end", topics.end(topic)));
    }

    private void respond(HttpExchange exchange, int status, Map<String, Object> body) {
        exchange.respond(status, "application/json", json.write(body), headers());
    }

    private Map<String, String> headers() {
        return Map.of("Store-Era", Long.toString(era));
    }

    private static List<byte[]> records(byte[] body) {
        ByteBuffer buffer = ByteBuffer.wrap(body);
        List<byte[]> records = new ArrayList<>();
        while (buffer.hasRemaining()) {
            byte[] content = new byte[buffer.getInt()];
            buffer.get(content);
            records.add(content);
        }
        return records;
    }

    private static Optional<String> first(Map<String, List<String>> query, String name) {
        return query.getOrDefault(name, List.of()).stream().findFirst();
    }
}
