package org.jackdawbeam.logic.entry;

import java.util.OptionalLong;
import org.jackdawbeam.logic.configuration.LogReducer;
import org.jackdawbeam.logic.configuration.LoggedState;
import org.jackdawbeam.logic.membership.Membership;
import org.jackdawbeam.model.log.LogEntry;
import org.jackdawbeam.model.log.LogRecord.ClaimEnded;
import org.jackdawbeam.model.log.LogRecord.ClaimMade;
import org.jackdawbeam.model.log.LogRecord.OrderIntended;
import org.jackdawbeam.model.log.LogRecord.OrderResolved;
import org.jackdawbeam.model.log.LogRecord.SnapshotTaken;
import org.jackdawbeam.model.settings.EntryTimings;

/** Tails the log, folds its records into the state and passes each record to the flow that handles it. */
final class LogFlow {
    private static final long READ_TIMEOUT_MILLIS = 2_000;

    private final EntryOptions options;
    private final LogReducer reducer;
    private final ClaimFlow claims;
    private final OrderFlow orders;
    private final TargetFlow targets;
    private final AppendFlow appends;

    LogFlow(
            EntryOptions options,
            LogReducer reducer,
            ClaimFlow claims,
            OrderFlow orders,
            TargetFlow targets,
            AppendFlow appends) {
        this.options = options;
        this.reducer = reducer;
        this.claims = claims;
        this.orders = orders;
        this.targets = targets;
        this.appends = appends;
    }

    Transition tick(EntryState state, long nowMillis) {
        LogView log = state.log();
        boolean inFlight = log.readSentAtMillis().isPresent()
                && log.readSentAtMillis().getAsLong() + READ_TIMEOUT_MILLIS > nowMillis;
        boolean due = log.lastReadMillis() + options.timings().logPollMillis() <= nowMillis;
        if (inFlight || !due) {
            return Transition.to(state);
        }
        return read(state, nowMillis);
    }

    Transition onRead(EntryState state, Event.LogRead event) {
        long before = state.log().folded().version();
        Transition folded = Transition.to(state);
        for (LogEntry entry : event.entries()) {
            folded = folded.then(next -> onEntry(next, event.nowMillis(), entry));
        }
        return folded.then(next -> afterRead(next, event, before));
    }

    Transition onReadFailed(EntryState state, Event.LogReadFailed event) {
        LogView log = state.log();
        return Transition.to(state.withLog(log.readEnded(log.answeredAtMillis(), false)));
    }

    /** Adopts the snapshot of a peer if it covers more of the log than the local state. */
    Transition onSnapshot(EntryState state, Event.SnapshotReceived event) {
        LoggedState adopted = reducer.adopt(state.log().folded(), event.snapshot());
        EntryState next = state.withLog(state.log().withFolded(adopted, adopted.nextOffset()));
        return applyFoldedState(next, event.nowMillis());
    }

    /** Applies the epochs, the settled epoch and the targets of the folded state. */
    private Transition applyFoldedState(EntryState state, long nowMillis) {
        LoggedState logged = state.log().folded();
        EntryTimings timings = options.timings();
        Membership membership = state.membership()
                .withEpochs(logged.epochs(), logged.settledEpoch(), logged.forgotten(), nowMillis, timings);
        EntryState next = state.withMembership(membership);
        return Transition.to(MembershipFlow.syncShare(next, nowMillis)).then(targets::syncWithBundle);
    }

    private Transition onEntry(EntryState state, long nowMillis, LogEntry entry) {
        LoggedState before = state.log().folded();
        LoggedState after = reducer.reduce(before, entry);
        boolean folded = after.nextOffset() != before.nextOffset();
        long readFrom = folded ? after.nextOffset() : Math.max(state.log().readFrom(), entry.offset() + 1);
        PendingAppend own = state.log().pending().get(entry.record().recordId());
        EntryState seen = AppendFlow.dropPending(state, entry.record().recordId());
        EntryState next = seen.withLog(seen.log().withFolded(after, readFrom));
        if (!folded) {
            return Transition.to(next);
        }
        return dispatchRecord(next, nowMillis, entry)
                .then(reacted ->
                        OperatorFlow.answer(reacted, own == null ? OptionalLong.empty() : own.operationId(), entry));
    }

    private Transition dispatchRecord(EntryState state, long nowMillis, LogEntry entry) {
        return switch (entry.record()) {
            case ClaimMade made -> claims.onClaimMade(state, nowMillis, made);
            case ClaimEnded ended -> claims.onClaimEnded(state, nowMillis, ended);
            case OrderIntended order -> orders.onOrderLogged(state, nowMillis, order, entry.offset());
            case OrderResolved resolved -> orders.onOrderResolved(state, nowMillis, resolved);
            case SnapshotTaken taken ->
                Transition.to(state.withLog(state.log().withSnapshotSeen(taken.coveredOffset(), nowMillis)));
            default -> Transition.to(state);
        };
    }

    private Transition afterRead(EntryState state, Event.LogRead event, long versionBefore) {
        LogView log = state.log();
        boolean reachedHead = log.folded().nextOffset() >= event.headOffset();
        EntryState ended = state.withLog(log.readEnded(event.nowMillis(), reachedHead));
        Transition next = applyFoldedState(ended, event.nowMillis());
        if (reachedHead) {
            next = next.map(
                    current -> current.withMembership(current.membership().withLogContact(event.askedAtMillis())));
        }
        boolean moreToRead =
                log.readFrom() < event.headOffset() && !event.entries().isEmpty();
        return moreToRead ? next.then(current -> read(current, event.nowMillis())) : next;
    }

    private Transition read(EntryState state, long nowMillis) {
        return Transition.to(state.withLog(state.log().readSent(nowMillis)))
                .with(new Effect.ReadLog(state.log().readFrom()));
    }

    /**
     * Appends a snapshot of the folded state before the records that it covers expire. Any member may do so, because a
     * snapshot is a pure function of these records. Members that joined later wait longer, so that usually only one of
     * them appends.
     */
    Transition appendSnapshotIfDue(EntryState state, long nowMillis) {
        LogView log = state.log();
        EntryTimings timings = options.timings();
        double rankFactor = 1 + state.membership().rank() / 2.0;
        long records = log.folded().nextOffset() - log.snapshotOffset();
        boolean due = records >= timings.snapshotRecords() * rankFactor
                || (records > 1 && nowMillis - log.snapshotAtMillis() >= timings.snapshotMillis() * rankFactor);
        boolean pending = log.isAppending(SnapshotTaken.class::isInstance);
        if (!due || pending || !log.caughtUp()) {
            return Transition.to(state);
        }
        LoggedState folded = log.folded();
        return appends.append(
                state, nowMillis, recordId -> new SnapshotTaken(recordId, folded.nextOffset(), folded.toSnapshot()));
    }
}
