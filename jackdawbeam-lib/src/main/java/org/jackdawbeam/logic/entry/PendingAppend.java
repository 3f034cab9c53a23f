package org.jackdawbeam.logic.entry;

import java.util.OptionalLong;
import org.jackdawbeam.model.log.LogRecord;

/**
 * A record that this run wants in the log and has not read back yet.
 *
 * @param record the record
 * @param lastSentMillis time of the last try; empty if there was none
 * @param operationId operator request that waits for it
 */
public record PendingAppend(LogRecord record, OptionalLong lastSentMillis, OptionalLong operationId) {

    PendingAppend withSentAt(long nowMillis) {
        return new PendingAppend(record, OptionalLong.of(nowMillis), operationId);
    }

    boolean isDue(long nowMillis, long retryMillis) {
        return lastSentMillis.isEmpty() || lastSentMillis.getAsLong() + retryMillis <= nowMillis;
    }
}
