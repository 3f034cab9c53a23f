package org.jackdawbeam.bench.harness;

import java.util.ArrayList;
import java.util.List;
import org.jackdawbeam.model.log.LogEntry;
import org.jackdawbeam.model.log.LogRecord;

/** In-memory implementation of the platform's log with faults that tests can enable. */
public final class FakeLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private long earliest;
    private boolean unavailable;
    private double delayMillis;
    private long appendCalls;

    /** Starts or ends an outage. */
    public void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    /** Sets the delay of every response. */
    public void setDelayMillis(double millis) {
        delayMillis = millis;
    }

    /** Returns the delay of every response. */
    public double delayMillis() {
        return delayMillis;
    }

    /** Returns whether the log is unavailable. */
    public boolean isUnavailable() {
        return unavailable;
    }

    /** Appends records with the given timestamp. */
    public void append(List<LogRecord> records, long nowMillis) {
        appendCalls++;
        for (LogRecord record : records) {
            entries.add(new LogEntry(entries.size(), nowMillis, record));
        }
    }

    /** Returns the number of append calls so far. */
    public long appendCalls() {
        return appendCalls;
    }

    /** Expires all records before an offset. */
    public void expireBefore(long offset) {
        earliest = Math.max(earliest, offset);
    }

    /** Reads records from an offset, or from the earliest record that has not expired if that is later. */
    public List<LogEntry> read(long fromOffset, int limit) {
        int from = (int) Math.min(entries.size(), Math.max(fromOffset, earliest));
        int to = Math.min(entries.size(), from + limit);
        return List.copyOf(entries.subList(from, to));
    }

    /** Returns the offset of the next record. */
    public long head() {
        return entries.size();
    }

    /** Returns all records that were ever appended, including expired ones. */
    public List<LogEntry> all() {
        return List.copyOf(entries);
    }
}
