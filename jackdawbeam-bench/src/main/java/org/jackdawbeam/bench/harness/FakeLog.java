package org.jackdawbeam.bench.harness;

import java.util.ArrayList;
import java.util.List;
import org.jackdawbeam.model.log.LogEntry;
import org.jackdawbeam.model.log.LogRecord;

/** The platform's log as a list. Faults are switched on by the test. */
public final class FakeLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private long earliest;
    private boolean unavailable;
    private double delayMillis;
    private long appendCalls;

    /** Switches an outage on or off. */
    public void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    /** Delays every answer by the given time. */
    public void setDelayMillis(double millis) {
        delayMillis = millis;
    }

    /** Returns the delay of every answer. */
    public double delayMillis() {
        return delayMillis;
    }

    /** Returns whether the log is unavailable. */
    public boolean isUnavailable() {
        return unavailable;
    }

    /** Appends records. */
    public void append(List<LogRecord> records, long nowMillis) {
        appendCalls++;
        for (LogRecord record : records) {
            entries.add(new LogEntry(entries.size(), nowMillis, record));
        }
    }

    /** Returns how many calls have appended. */
    public long appendCalls() {
        return appendCalls;
    }

    /** Lets all records before an offset expire. */
    public void expireBefore(long offset) {
        earliest = Math.max(earliest, offset);
    }

    /** Reads from an offset, or from the earliest record that has not expired. */
    public List<LogEntry> read(long fromOffset, int limit) {
        int from = (int) Math.min(entries.size(), Math.max(fromOffset, earliest));
        int to = Math.min(entries.size(), from + limit);
        return List.copyOf(entries.subList(from, to));
    }

    /** Returns the offset of the next record. */
    public long head() {
        return entries.size();
    }

    /** Returns all records that were ever appended. */
    public List<LogEntry> all() {
        return List.copyOf(entries);
    }
}
