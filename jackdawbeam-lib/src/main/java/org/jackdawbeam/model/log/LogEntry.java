package org.jackdawbeam.model.log;

/**
 * A record read from the platform's log.
 *
 * @param offset position in the log, increasing by one with each record
 * @param timestampMillis time of the append by the clock of the log service, in milliseconds since the Unix epoch
 * @param record the record
 */
public record LogEntry(long offset, long timestampMillis, LogRecord record) {}
