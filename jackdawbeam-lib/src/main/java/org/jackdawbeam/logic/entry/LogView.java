package org.jackdawbeam.logic.entry;

import java.util.OptionalLong;
import java.util.function.Predicate;
import org.jackdawbeam.logic.configuration.LoggedState;
import org.jackdawbeam.model.log.LogRecord;
import org.pcollections.OrderedPMap;
import org.pcollections.PMap;

/**
 * The local view of the platform log, together with the records to be appended to it.
 *
 * @param folded state folded from the log records
 * @param readFrom offset of the next read; ahead of the folded state only while searching for a snapshot that covers a
 *     gap
 * @param readSentAtMillis time at which the read in flight was sent; empty if there is none
 * @param lastReadMillis time at which the last read was sent
 * @param answeredAtMillis time of the last successful read
 * @param caughtUp whether the log has been read to its head at least once
 * @param pending records to append by record id, in insertion order
 * @param appendSentAtMillis time at which the append in flight was sent; empty if there is none
 * @param nextRecordNumber sequence number that makes record ids unique
 * @param snapshotOffset offset up to which the latest observed snapshot covers the log
 * @param snapshotAtMillis time at which the latest snapshot was read
 */
public record LogView(
        LoggedState folded,
        long readFrom,
        OptionalLong readSentAtMillis,
        long lastReadMillis,
        long answeredAtMillis,
        boolean caughtUp,
        PMap<String, PendingAppend> pending,
        OptionalLong appendSentAtMillis,
        long nextRecordNumber,
        long snapshotOffset,
        long snapshotAtMillis) {

    /** Returns the view of an entry that has not read the log yet. */
    public static LogView starting(long nowMillis) {
        return new LogView(
                LoggedState.empty(),
                0,
                OptionalLong.empty(),
                Long.MIN_VALUE / 2,
                nowMillis,
                false,
                OrderedPMap.empty(),
                OptionalLong.empty(),
                1,
                0,
                nowMillis);
    }

    /** Returns whether the log has not answered for longer than the given time. */
    public boolean isSilent(long nowMillis, long silenceMillis) {
        return nowMillis - answeredAtMillis > silenceMillis;
    }

    /** Returns whether a matching record is waiting to be appended. */
    boolean isAppending(Predicate<LogRecord> matches) {
        return pending.values().stream().anyMatch(append -> matches.test(append.record()));
    }

    LogView withFolded(LoggedState state, long nextRead) {
        Builder builder = new Builder(this);
        builder.folded = state;
        builder.readFrom = nextRead;
        return builder.build();
    }

    LogView readSent(long nowMillis) {
        Builder builder = new Builder(this);
        builder.readSentAtMillis = OptionalLong.of(nowMillis);
        builder.lastReadMillis = nowMillis;
        return builder.build();
    }

    LogView readEnded(long answered, boolean reachedHead) {
        Builder builder = new Builder(this);
        builder.readSentAtMillis = OptionalLong.empty();
        builder.answeredAtMillis = answered;
        builder.caughtUp = caughtUp || reachedHead;
        return builder.build();
    }

    LogView withPending(PMap<String, PendingAppend> records) {
        Builder builder = new Builder(this);
        builder.pending = records;
        return builder.build();
    }

    LogView withAppendSentAt(OptionalLong sentAtMillis) {
        Builder builder = new Builder(this);
        builder.appendSentAtMillis = sentAtMillis;
        return builder.build();
    }

    LogView withNextRecordNumber(long number) {
        Builder builder = new Builder(this);
        builder.nextRecordNumber = number;
        return builder.build();
    }

    LogView withSnapshotSeen(long offset, long nowMillis) {
        Builder builder = new Builder(this);
        builder.snapshotOffset = offset;
        builder.snapshotAtMillis = nowMillis;
        return builder.build();
    }

    /** Mutable copy from which the next view is built. */
    private static final class Builder {
        private LoggedState folded;
        private long readFrom;
        private OptionalLong readSentAtMillis;
        private long lastReadMillis;
        private long answeredAtMillis;
        private boolean caughtUp;
        private PMap<String, PendingAppend> pending;
        private OptionalLong appendSentAtMillis;
        private long nextRecordNumber;
        private long snapshotOffset;
        private long snapshotAtMillis;

        Builder(LogView source) {
            folded = source.folded;
            readFrom = source.readFrom;
            readSentAtMillis = source.readSentAtMillis;
            lastReadMillis = source.lastReadMillis;
            answeredAtMillis = source.answeredAtMillis;
            caughtUp = source.caughtUp;
            pending = source.pending;
            appendSentAtMillis = source.appendSentAtMillis;
            nextRecordNumber = source.nextRecordNumber;
            snapshotOffset = source.snapshotOffset;
            snapshotAtMillis = source.snapshotAtMillis;
        }

        LogView build() {
            return new LogView(
                    folded,
                    readFrom,
                    readSentAtMillis,
                    lastReadMillis,
                    answeredAtMillis,
                    caughtUp,
                    pending,
                    appendSentAtMillis,
                    nextRecordNumber,
                    snapshotOffset,
                    snapshotAtMillis);
        }
    }
}
