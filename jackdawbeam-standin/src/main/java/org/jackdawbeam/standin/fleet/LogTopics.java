package org.jackdawbeam.standin.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Topics of an in-memory append-only log, each with one partition. Thread-safe. */
final class LogTopics {
    private static final String KEYED_PREFIX = "keyed.";
    private static final int BYTE_MASK = 0xFF;

    private final Map<String, Topic> topics = new HashMap<>();

    /**
     * Records from an offset.
     *
     * @param end offset after the newest record of the topic
     * @param first offset of the oldest retained record
     * @param contents contents of the records; empty if there are none, or if they have been deleted
     */
    record Read(long end, long first, List<byte[]> contents) {}

    /** The newest record of a key in a keyed topic. */
    record Newest(String key, byte[] value, long offset) {}

    private static final class Topic {
        private final List<byte[]> records = new ArrayList<>();
        private final Map<String, Newest> newest = new LinkedHashMap<>();
        private long first;

        private long end() {
            return first + records.size();
        }
    }

    /** Appends records and returns their first offset, or empty if the topic does not end at the offset {@code at}. */
    synchronized Optional<Long> append(String name, List<byte[]> contents, Optional<Long> at) {
        Topic topic = topics.computeIfAbsent(name, key -> new Topic());
        long offset = topic.end();
        if (at.isPresent() && at.get() != offset) {
            return Optional.empty();
        }
        for (byte[] content : contents) {
            if (name.startsWith(KEYED_PREFIX)) {
                updateNewest(topic, content);
            }
            topic.records.add(content);
        }
        return Optional.of(offset);
    }

    synchronized Read read(String name, long from) {
        Topic topic = topics.computeIfAbsent(name, key -> new Topic());
        int start = (int) Math.clamp(from - topic.first, 0, topic.records.size());
        List<byte[]> contents =
                from < topic.first ? List.of() : List.copyOf(topic.records.subList(start, topic.records.size()));
        return new Read(topic.end(), topic.first, contents);
    }

    synchronized List<Newest> newest(String name) {
        Topic topic = topics.get(name);
        return topic == null ? List.of() : List.copyOf(topic.newest.values());
    }

    synchronized long end(String name) {
        Topic topic = topics.get(name);
        return topic == null ? 0 : topic.end();
    }

    /** Returns the current records of all topics. */
    synchronized Map<String, List<byte[]>> snapshot() {
        Map<String, List<byte[]>> snapshot = new HashMap<>();
        topics.forEach((name, topic) -> snapshot.put(name, List.copyOf(topic.records)));
        return snapshot;
    }

    /** Restores a snapshot. Later records are lost, and their offsets are assigned again. */
    synchronized void restore(Map<String, List<byte[]>> snapshot) {
        topics.clear();
        snapshot.forEach((name, records) -> append(name, records, Optional.empty()));
    }

    /** Deletes the records of a topic, but not its index of the newest record of each key. */
    synchronized void forgetHistory(String name) {
        Topic topic = topics.computeIfAbsent(name, key -> new Topic());
        topic.first = topic.end();
        topic.records.clear();
    }

    private static void updateNewest(Topic topic, byte[] content) {
        int keyLength = content[0] & BYTE_MASK;
        String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(content, 1 + keyLength, content.length);
        if (value.length == 0) {
            topic.newest.remove(key);
        } else {
            topic.newest.put(key, new Newest(key, value, topic.end()));
        }
    }
}
