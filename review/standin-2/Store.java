import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's store: a log with keyed topics, one partition each, as PROTOCOL.md tells it. */
final class Store implements AutoCloseable {
    private static final long ANSWER_MILLIS = 4;

    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final Map<String, String> translations = new HashMap<>();
    private final Http.Server server;

    Store(String ip) throws IOException {
        server = new Http.Server(ip, this::answer);
    }

    String address() {
        return server.address();
    }

    /** All open connections to the store go silent, and new ones work. */
    int silenceConnections() {
        return server.silenceConnections();
    }

    /** Makes others see a machine at another address, as behind an address translation: that of a proxy. */
    void translate(String address, String seenAs) {
        synchronized (topics) {
            translations.put(address, seenAs);
        }
    }

    /** Writes a record of a keyed topic and returns when it is acknowledged; without a value it drops the key. */
    void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        byte[] record = ByteBuffer.allocate(1 + name.length + text.length)
                .put((byte) name.length)
                .put(name)
                .put(text)
                .array();
        synchronized (topics) {
            topics.computeIfAbsent(topic, key2 -> new ArrayList<>()).add(record);
            topics.notifyAll();
        }
    }

    private byte[] answer(Http.Connection connection, Http.Message request) throws Exception {
        Thread.sleep(ANSWER_MILLIS);
        String topic = request.query().getOrDefault("topic", "");
        return switch (request.path()) {
            case "/v1/log-append" -> append(topic, request);
            case "/v1/log-read" -> read(topic, request);
            case "/v1/log-newest" -> newest(topic);
            default -> Http.response(404, Map.of(), new byte[0]);
        };
    }

    private byte[] append(String topic, Http.Message request) {
        ByteBuffer body = ByteBuffer.wrap(request.body());
        List<byte[]> records = new ArrayList<>();
        while (body.hasRemaining()) {
            byte[] record = new byte[body.getInt()];
            body.get(record);
            records.add(record);
        }
        synchronized (topics) {
            List<byte[]> log = topics.computeIfAbsent(topic, key -> new ArrayList<>());
            int first = log.size();
            String at = request.query().get("at");
            if (at != null && Long.parseLong(at) != first) {
                return json(412, "{\"end\":" + first + "}");
            }
            records.forEach(record -> log.add(translated(record)));
            topics.notifyAll();
            return json(200, "{\"offset\":" + first + ",\"end\":" + log.size() + "}");
        }
    }

    private byte[] translated(byte[] record) {
        String text = new String(record, StandardCharsets.ISO_8859_1);
        for (Map.Entry<String, String> translation : translations.entrySet()) {
            text = text.replace('"' + translation.getKey() + '"', '"' + translation.getValue() + '"');
        }
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private byte[] read(String topic, Http.Message request) throws InterruptedException {
        int from = Integer.parseInt(request.query().get("from"));
        long until = System.currentTimeMillis()
                + Long.parseLong(request.query().getOrDefault("waitMs", "0"));
        synchronized (topics) {
            List<byte[]> log = topics.computeIfAbsent(topic, key -> new ArrayList<>());
            for (long left = until - System.currentTimeMillis();
                    left > 0 && log.size() <= from;
                    left = until - System.currentTimeMillis()) {
                topics.wait(left);
            }
            List<byte[]> records = from < log.size() ? log.subList(from, log.size()) : List.of();
            ByteBuffer body = ByteBuffer.allocate(
                    16 + records.stream().mapToInt(record -> 4 + record.length).sum());
            body.putLong(log.size()).putLong(0);
            records.forEach(record -> body.putInt(record.length).put(record));
            return Http.response(200, Map.of("Content-Type", "application/octet-stream"), body.array());
        }
    }

    private byte[] newest(String topic) {
        synchronized (topics) {
            List<byte[]> log = topics.computeIfAbsent(topic, key -> new ArrayList<>());
            Map<String, String> items = new LinkedHashMap<>();
            for (int offset = 0; offset < log.size(); offset++) {
                byte[] record = log.get(offset);
                String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
                byte[] value = java.util.Arrays.copyOfRange(record, 1 + record[0], record.length);
                items.remove(key);
                if (value.length > 0) {
                    items.put(
                            key,
                            "{\"key\":\"" + key + "\",\"value\":\""
                                    + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset + "}");
                }
            }
            return json(
                    200,
                    "{\"items\":[" + String.join(",", items.values()) + "],\"hasMore\":false,\"end\":" + log.size()
                            + "}");
        }
    }

    private static byte[] json(int status, String text) {
        return Http.response(
                status, Map.of("Content-Type", "application/json"), text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
