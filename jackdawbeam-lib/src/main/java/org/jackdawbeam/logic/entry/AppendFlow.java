package org.jackdawbeam.logic.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;
import org.jackdawbeam.model.log.LogRecord;
import org.pcollections.PMap;

/**
 * Appends records to the log. At most one append is in flight; it batches the due records to keep the number of appends
 * low. A record is sent again until it has been read back from the log.
 */
final class AppendFlow {
    private static final int MAXIMUM_BATCH = 128;

    private final EntryOptions options;

    AppendFlow(EntryOptions options) {
        this.options = options;
    }

    /** Enqueues the record that the function creates for a new record id and sends it if no append is in flight. */
    Transition append(EntryState state, long nowMillis, Function<String, LogRecord> record) {
        return append(state, nowMillis, OptionalLong.empty(), record.apply(nextRecordId(state)));
    }

    /** Enqueues a record together with the operator request that waits for it, if there is one. */
    Transition append(EntryState state, long nowMillis, OptionalLong operationId, LogRecord record) {
        PendingAppend pending = new PendingAppend(record, OptionalLong.empty(), operationId);
        LogView log = state.log()
                .withPending(state.log().pending().plus(record.recordId(), pending))
                .withNextRecordNumber(state.log().nextRecordNumber() + 1);
        return sendDue(state.withLog(log), nowMillis);
    }

    /** Returns the id of the next record to be enqueued. */
    static String nextRecordId(EntryState state) {
        return state.membership().self().label() + "/" + state.log().nextRecordNumber();
    }

    /** Sends a batch of due records, unless an append is already in flight. */
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

    /** Reads the log right after an accepted append, so that its records are read back without delay. */
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

    /** Stops sending a record. An append that is already in flight may still write it to the log. */
    static EntryState dropPending(EntryState state, String recordId) {
        return state.withLog(state.log().withPending(state.log().pending().minus(recordId)));
    }
}
