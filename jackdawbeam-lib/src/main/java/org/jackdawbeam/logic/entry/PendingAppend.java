package org.jackdawbeam.logic.entry;

import java.util.OptionalLong;
import org.jackdawbeam.model.log.LogRecord;

/**
 * A record that this run appends to the log and has not read back yet.
 *
 * @param record record to append
 * @param lastSentMillis time at which the record was last sent; empty if it has not been sent
 * @param operationId id of the operator request that waits for the record; empty if there is none
 */
public record PendingAppend(LogRecord record, OptionalLong lastSentMillis, OptionalLong operationId) {

    PendingAppend withSentAt(long nowMillis) {
        return new PendingAppend(record, OptionalLong.of(nowMillis), operationId);
    }

    boolean isDue(long nowMillis, long retryMillis) {
        return lastSentMillis.isEmpty() || lastSentMillis.getAsLong() + retryMillis <= nowMillis;
    }
}
