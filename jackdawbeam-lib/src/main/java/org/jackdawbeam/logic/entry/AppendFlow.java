package org.jackdawbeam.logic.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;
import org.jackdawbeam.model.log.LogRecord;
import org.pcollections.PMap;

/**
 * Brings records into the log. One append is in flight at a time and carries everything that is due, so that the number
 * of appends stays low; a record is repeated until it was read back.
 */
final class AppendFlow {
    private static final int MAXIMUM_BATCH = 128;

    private final EntryOptions options;

    AppendFlow(EntryOptions options) {
        this.options = options;
    }

    /** Enqueues the record that the function makes of a fresh record id, and sends it if no append is in flight. */
    Transition append(EntryState state, long nowMillis, Function<String, LogRecord> record) {
        return append(state, nowMillis, OptionalLong.empty(), record.apply(nextRecordId(state)));
    }

    /** Enqueues a record that an operator waits for. */
    Transition append(EntryState state, long nowMillis, OptionalLong operationId, LogRecord record) {
        PendingAppend pending = new PendingAppend(record, OptionalLong.empty(), operationId);
        LogView log = state.log()
                .withPending(state.log().pending().plus(record.recordId(), pending))
                .withNextRecordNumber(state.log().nextRecordNumber() + 1);
        return sendDue(state.withLog(log), nowMillis);
    }

    /** Returns the id that the next record will have. */
    static String nextRecordId(EntryState state) {
        return state.membership().self().label() + "/" + state.log().nextRecordNumber();
    }

    /** Sends what is due. */
    Transition sendDue(EntryState state, long nowMillis) {
        LogView log = state.log();
        boolean inFlight = log.appendSentAtMillis().isPresent()
                && log.appendSentAtMillis().getAsLong() + options.timings().appendRetryMillis() > nowMillis;
        if (inFlight) {
            return Transition.to(state);
        }
        List<LogRecord> due = new ArrayList<>();
        PMap<String, PendingAppend> pending = log.pending();
        for (PendingAppend append : log.pending().values()) {
            boolean send = due.size() < MAXIMUM_BATCH
                    && append.isDue(nowMillis, options.timings().appendRetryMillis());
            if (send) {
                due.add(append.record());
                pending = pending.plus(append.record().recordId(), append.withSentAt(nowMillis));
            }
        }
        if (due.isEmpty()) {
            return Transition.to(state);
        }
        LogView sent = log.withPending(pending).withAppendSentAt(OptionalLong.of(nowMillis));
        return Transition.to(state.withLog(sent)).with(new Effect.AppendRecords(List.copyOf(due)));
    }

    /** Reads the log at once after an accepted append, so that the records come back soon. */
    Transition onEnded(EntryState state, Event.AppendEnded event) {
        EntryState free = state.withLog(state.log().withAppendSentAt(OptionalLong.empty()));
        if (!event.accepted()) {
            return Transition.to(free);
        }
        Transition read = Transition.to(free);
        if (free.log().readSentAtMillis().isEmpty()) {
            read = Transition.to(free.withLog(free.log().readSent(event.nowMillis())))
                    .with(new Effect.ReadLog(free.log().readFrom()));
        }
        return read.then(next -> sendDue(next, event.nowMillis()));
    }

    /** Stops repeating a record; an append in flight may still bring it into the log. */
    static EntryState dropPending(EntryState state, String recordId) {
        return state.withLog(state.log().withPending(state.log().pending().minus(recordId)));
    }
}
