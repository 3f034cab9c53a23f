package org.jackdawbeam.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** In-memory append-only log with offsets, a retention time and a limit on appends per second. Thread-safe. */
public final class LogStore {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final long retentionMillis;
    private final int appendsPerSecond;
    private final Deque<StoredRecord> records = new ArrayDeque<>();
    private long nextOffset;
    private long windowStartMillis;
    private int appendsInWindow;

    /** A record of the log. */
    public record StoredRecord(long offset, long timestampMillis, JsonNode value) {}

    /** Consecutive records, with the offset of the oldest retained record and the next offset of the log. */
    public record Page(long earliest, long head, List<StoredRecord> records) {}

    public LogStore(long retentionMillis, int appendsPerSecond) {
        this.retentionMillis = retentionMillis;
        this.appendsPerSecond = appendsPerSecond;
    }

    /** Appends records in one call; returns false if the limit on appends per second is exceeded. */
    public synchronized boolean append(Iterator<JsonNode> values, long nowMillis) {
        if (nowMillis - windowStartMillis >= MILLIS_PER_SECOND) {
            windowStartMillis = nowMillis;
            appendsInWindow = 0;
        }
        appendsInWindow++;
        if (appendsInWindow > appendsPerSecond) {
            return false;
        }
        values.forEachRemaining(value -> records.addLast(new StoredRecord(nextOffset++, nowMillis, value)));
        expire(nowMillis);
        return true;
    }

    /** Reads records from an offset, or from the oldest retained record if the offset has expired. */
    public synchronized Page read(long fromOffset, int limit, long nowMillis) {
        expire(nowMillis);
        long earliest = records.isEmpty() ? nextOffset : records.peekFirst().offset();
        List<StoredRecord> page = new ArrayList<>();
        long skip = Math.max(0, fromOffset - earliest);
        if (skip < records.size()) {
            records.stream().skip(skip).limit(limit).forEach(page::add);
        }
        return new Page(earliest, nextOffset, page);
    }

    private void expire(long nowMillis) {
        while (!records.isEmpty() && records.peekFirst().timestampMillis() + retentionMillis < nowMillis) {
            records.pollFirst();
        }
    }
}
