package org.jackdawbeam.net.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes log lines to standard output without blocking the logging threads. Lines are dropped while the buffer is full;
 * a log line reports the total number of dropped lines.
 */
public final class BoundedConsoleWriter implements Writer {
    private static final int BUFFERED_LINES = 4_096; // about 1 MB of log text

    private static final AtomicLong DROPPED_LINES = new AtomicLong();

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(BUFFERED_LINES);
    private final OutputStream output = new FileOutputStream(FileDescriptor.out);
    private long reportedDroppedLines;

    public BoundedConsoleWriter(Map<String, String> properties) {
        Thread thread = new Thread(this::writeQueuedLines, "log-writer");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the number of lines dropped so far. */
    public static long droppedLines() {
        return DROPPED_LINES.get();
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        String failure = entry.getException() == null ? "" : " exception=\"" + entry.getException() + '"';
        String line = "time=" + entry.getTimestamp().toInstant() + " level=" + entry.getLevel() + ' '
                + entry.getMessage() + failure + '\n';
        if (!lines.offer(line)) {
            DROPPED_LINES.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        // Nothing to do: the writer thread writes queued lines without delay.
    }

    @Override
    public void close() {
        StringBuilder rest = new StringBuilder();
        for (String line = lines.poll(); line != null; line = lines.poll()) {
            rest.append(line);
        }
        writeBytes(rest.toString());
    }

    private void writeQueuedLines() {
        try {
            while (true) {
                StringBuilder batch = new StringBuilder(lines.take());
                for (String line = lines.poll(); line != null; line = lines.poll()) {
                    batch.append(line);
                }
                long dropped = DROPPED_LINES.get();
                if (dropped > reportedDroppedLines) {
                    batch.append("level=WARN event=log_lines_left_out total=")
                            .append(dropped)
                            .append('\n');
                    reportedDroppedLines = dropped;
                }
                writeBytes(batch.toString());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeBytes(String text) {
        try {
            output.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            DROPPED_LINES.incrementAndGet(); // standard output is closed, so the error cannot be logged
        }
    }
}
