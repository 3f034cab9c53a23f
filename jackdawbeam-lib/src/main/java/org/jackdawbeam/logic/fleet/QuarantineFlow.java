package org.jackdawbeam.logic.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jackdawbeam.logic.quarantine.Incarnation;
import org.jackdawbeam.logic.quarantine.Quarantine;
import org.jackdawbeam.logic.quarantine.QuarantineEntry;
import org.jackdawbeam.model.fleet.QuarantineReport;
import org.jackdawbeam.model.fleet.QuarantineReport.QuarantinedParts;
import org.jackdawbeam.model.fleet.QuarantineScope;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;

/**
 * Collects evidence on prompt parts and on requests that crash engines, exchanges it with the other entries, and keeps
 * what is quarantined in the store, from which an entry that has just started reads it.
 */
final class QuarantineFlow {
    private static final long STORE_RETRY_MILLIS = 1_000;
    private static final int MAX_LOSSES_BEFORE_REPEAT = 1; // a second loss under the same part is no coincidence

    private final DispatchFlow dispatch;

    QuarantineFlow(DispatchFlow dispatch) {
        this.dispatch = dispatch;
    }

    /**
     * Records that a request has lost the connection to its engine before the first byte of its answer, and quarantines
     * what the evidence now requires.
     */
    FleetState onEngineLost(
            FleetState state,
            FleetRequest request,
            FleetTarget target,
            long sentAtMillis,
            long nowMillis,
            List<FleetEffect> effects) {
        if (target.isLeaving()) {
            return state;
        }
        FleetState next = state.with(state.sent().withDigestDue());
        for (QuarantineScope scope : QuarantineScope.values()) {
            List<Long> ids = QuarantineGate.ids(scope, request.call());
            Quarantine before = state.quarantine(scope);
            Quarantine changed = ids.isEmpty()
                    ? before
                    : before.withLoss(incarnation(target), request.call().fingerprint(), sentAtMillis, ids, nowMillis)
                            .withNewGroups(nowMillis);
            next = apply(before, next.with(changed), "own", nowMillis, effects);
        }
        return next;
    }

    /** Records that an engine has begun to write the answer of a request. */
    FleetState onAnswerBegun(
            FleetState state,
            FleetRequest request,
            FleetTarget target,
            long sentAtMillis,
            long nowMillis,
            List<FleetEffect> effects) {
        FleetState next = state;
        for (QuarantineScope scope : QuarantineScope.values()) {
            List<Long> ids = QuarantineGate.ids(scope, request.call());
            Quarantine before = state.quarantine(scope);
            Quarantine changed =
                    ids.isEmpty() ? before : before.withAnswer(incarnation(target), sentAtMillis, ids, nowMillis);
            next = apply(before, next.with(changed), "answer", nowMillis, effects);
        }
        return next;
    }

    /** Merges what another entry knows. */
    FleetState onReport(
            FleetState state, String sender, QuarantineReport report, long nowMillis, List<FleetEffect> effects) {
        FleetState next = onReport(state, QuarantineScope.PROMPT_PARTS, sender, report, nowMillis, effects);
        return report.requests().isEmpty()
                ? next
                : onReport(
                        next,
                        QuarantineScope.REQUESTS,
                        sender,
                        report.requests().get(),
                        nowMillis,
                        effects);
    }

    private FleetState onReport(
            FleetState state,
            QuarantineScope scope,
            String sender,
            QuarantineReport report,
            long nowMillis,
            List<FleetEffect> effects) {
        if (report.losses().isEmpty() && report.quarantined().isEmpty()) {
            return state;
        }
        Quarantine before = state.quarantine(scope);
        Quarantine changed = before.merge(report, nowMillis).withNewGroups(nowMillis);
        return apply(before, state.with(changed), sender, nowMillis, effects);
    }

    /** Adds a quarantined group that the store holds. */
    FleetState onStoredEntry(FleetState state, QuarantinedParts stored, long nowMillis, List<FleetEffect> effects) {
        QuarantinedGroup group = new QuarantinedGroup(stored.scope(), Set.copyOf(stored.parts()));
        FleetState known = state.withStored(group, new StoredQuarantine(stored.trials(), false, true, nowMillis));
        Quarantine before = state.quarantine(stored.scope());
        Quarantine changed = before.withStored(group.ids(), stored.trials(), nowMillis);
        return apply(before, known.with(changed), "store", nowMillis, effects);
    }

    /** Releases a quarantined group at the request of an operator. */
    FleetState onReleaseRequested(FleetState state, QuarantinedGroup group, long nowMillis, List<FleetEffect> effects) {
        Quarantine before = state.quarantine(group.scope());
        return apply(before, state.with(before.withReleased(group.ids(), nowMillis)), "operator", nowMillis, effects);
    }

    FleetState onStored(FleetState state, FleetEvent.QuarantineStored event) {
        StoredQuarantine written = state.storedQuarantine().get(event.group());
        return written != null && event.accepted()
                ? state.withStored(
                        event.group(),
                        new StoredQuarantine(written.trials(), written.released(), true, event.nowMillis()))
                : state;
    }

    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (QuarantineScope scope : QuarantineScope.values()) {
            next = tick(next, scope, nowMillis, effects);
        }
        return next;
    }

    private static FleetState tick(FleetState state, QuarantineScope scope, long nowMillis, List<FleetEffect> effects) {
        Quarantine quarantine = state.quarantine(scope);
        if (quarantine.losses().isEmpty() && quarantine.entries().isEmpty()) {
            return state;
        }
        FleetState next = forgetExpired(state.with(quarantine.expire(nowMillis)));
        for (Map.Entry<Set<Long>, QuarantineEntry> entry :
                next.quarantine(scope).entries().entrySet()) {
            QuarantinedGroup group = new QuarantinedGroup(scope, entry.getKey());
            next = store(next, group, entry.getValue(), nowMillis, effects);
        }
        return next;
    }

    private static FleetState forgetExpired(FleetState state) {
        FleetState next = state;
        for (QuarantinedGroup group : state.storedQuarantine().keySet()) {
            boolean expired = !state.quarantine(group.scope()).entries().containsKey(group.ids());
            next = expired ? next.withStoredQuarantine(next.storedQuarantine().minus(group)) : next;
        }
        return next;
    }

    /** Returns whether a request may be repeated at another engine after its engine was lost. */
    static boolean mayRepeat(FleetState state, FleetRequest request) {
        return Arrays.stream(QuarantineScope.values())
                .allMatch(scope -> state.quarantine(scope).countLosses(QuarantineGate.ids(scope, request.call()))
                        <= MAX_LOSSES_BEFORE_REPEAT);
    }

    /** Writes a group to the store if this entry is responsible for it and the store does not hold its latest state. */
    private static FleetState store(
            FleetState state,
            QuarantinedGroup group,
            QuarantineEntry entry,
            long nowMillis,
            List<FleetEffect> effects) {
        StoredQuarantine stored = state.storedQuarantine().get(group);
        boolean upToDate =
                stored != null && stored.matches(entry) && (stored.confirmed() || nowMillis < stored.retryAtMillis());
        if (upToDate || !QuotaFlow.isFirst(state, QuarantineGate.format(group.ids()), nowMillis)) {
            return state;
        }
        effects.add(new FleetEffect.StoreQuarantine(
                group,
                new QuarantinedParts(
                        group.scope(), List.copyOf(new TreeSet<>(group.ids())), entry.trials(), entry.released(), 0)));
        return state.withStored(
                group, new StoredQuarantine(entry.trials(), entry.released(), false, nowMillis + STORE_RETRY_MILLIS));
    }

    /** Logs what has changed, tells it to the other entries, and ends attempts with newly quarantined parts. */
    private FleetState apply(
            Quarantine before, FleetState state, String source, long nowMillis, List<FleetEffect> effects) {
        Quarantine after = state.quarantine(before.scope());
        if (after.entries() == before.entries()) {
            return state;
        }
        boolean news = false;
        boolean added = false;
        for (Map.Entry<Set<Long>, QuarantineEntry> entry : after.entries().entrySet()) {
            QuarantineEntry known = before.entries().get(entry.getKey());
            boolean wasActive = known != null && !known.released();
            boolean isActive = !entry.getValue().released();
            news |= wasActive != isActive;
            added |= isActive && !wasActive;
            if (wasActive != isActive) {
                effects.add(note(after, entry.getKey(), entry.getValue(), source, nowMillis));
            }
        }
        FleetState told = news ? state.with(state.sent().withDigestDue()) : state;
        return added ? cancelAttempts(told, after, nowMillis, effects) : told;
    }

    private static FleetEffect.Note note(
            Quarantine quarantine, Set<Long> group, QuarantineEntry entry, String source, long nowMillis) {
        boolean parts = quarantine.scope() == QuarantineScope.PROMPT_PARTS;
        String change = entry.released() ? "_released" : "_quarantined";
        return FleetEffect.Note.of(
                (parts ? "prompt_parts" : "request") + change,
                parts ? "prompt_parts" : "fingerprint",
                QuarantineGate.format(group),
                "learned_from",
                source,
                "trials",
                entry.trials(),
                "next_trial_ms",
                entry.nextTrialAtMillis() - nowMillis,
                "engines_lost",
                String.join("+", quarantine.enginesLostWith(group)));
    }

    /** Ends attempts that wait for the first byte of their answers, so that they crash no further engine. */
    private FleetState cancelAttempts(
            FleetState state, Quarantine quarantine, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetRequest request : state.requests().values()) {
            boolean waits = request.phase() instanceof RequestPhase.Running running && !running.streaming();
            List<Long> ids = QuarantineGate.ids(quarantine.scope(), request.call());
            if (waits && !quarantine.findGroups(ids).isEmpty()) {
                next = cancelAttempt(
                        next, request, (RequestPhase.Running) request.phase(), quarantine.scope(), effects);
            }
        }
        return next;
    }

    private FleetState cancelAttempt(
            FleetState state,
            FleetRequest request,
            RequestPhase.Running running,
            QuarantineScope scope,
            List<FleetEffect> effects) {
        String subject = scope == QuarantineScope.REQUESTS ? "request" : "prompt parts";
        String reason = subject + " quarantined during the attempt at " + running.target();
        FleetState released = DispatchFlow.releaseAttempt(state, running);
        effects.add(new FleetEffect.CancelAttempt(running.attempt()));
        if (request.callerLeft()) {
            effects.add(
                    new FleetEffect.ForgetRequest(request.id(), request.call().callerRequestId()));
            return released.without(request);
        }
        if (running.answered()) {
            effects.add(new FleetEffect.BreakAnswer(request.id(), request.call().callerRequestId(), reason));
            return released.without(request);
        }
        return dispatch.refuse(released, request, Refusal.unknown(RefusalCode.TARGET_FAILED), reason, effects);
    }

    private static Incarnation incarnation(FleetTarget target) {
        return new Incarnation(target.description().id(), target.description().startedAtMillis());
    }
}
