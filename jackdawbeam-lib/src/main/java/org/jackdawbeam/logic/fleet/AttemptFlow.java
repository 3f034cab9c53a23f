package org.jackdawbeam.logic.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.jackdawbeam.model.fleet.RouteKind;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;

/** Handles the events of attempts at targets, and decides which requests may be retried. */
final class AttemptFlow {
    private static final int MAX_ATTEMPTS = 4; // includes rejected attempts; bounds the retries of a single request
    private static final int OK = 200;
    private static final int FIRST_SERVER_ERROR = 500;
    /** Statuses from which a caller may conclude that nothing ran; not relayed, as the request may have run. */
    private static final Set<Integer> REJECTION_STATUSES = Set.of(408, 421, 429, 503);

    private static final int MISDIRECTED_REQUEST = 421;

    private final DispatchFlow dispatch;
    private final TargetLeavingFlow leaving;
    private final TargetLimitFlow limits;
    private final QuarantineFlow quarantine;

    AttemptFlow(DispatchFlow dispatch, TargetLeavingFlow leaving, TargetLimitFlow limits, QuarantineFlow quarantine) {
        this.dispatch = dispatch;
        this.leaving = leaving;
        this.limits = limits;
        this.quarantine = quarantine;
    }

    FleetState onAnswered(FleetState state, FleetEvent.AttemptAnswered event, List<FleetEffect> effects) {
        Optional<FleetRequest> found = findRunning(state, event.attempt());
        if (found.isEmpty()) {
            return state;
        }
        FleetRequest request = found.get().withArrival();
        String id = ((RequestPhase.Running) request.phase()).target();
        FleetState notified = event.statement().leaving() ? leaving.onTargetAnswer(state, id, effects) : state;
        FleetState loaded = withTarget(
                notified,
                id,
                target -> WarmUpFlow.onAnswer(state, target, event.nowMillis())
                        .withStatement(event.statement(), event.nowMillis()));
        FleetState limited = limits.onTargetAnswer(
                loaded,
                id,
                event.statement().requestsPerSecond(),
                sentAtMillis(state, request, event.nowMillis()),
                event.nowMillis(),
                effects);
        event.statement()
                .retryDelayMillis()
                .ifPresent(millis ->
                        effects.add(FleetEffect.Note.of("target_turns_away", "target", id, "rest_ms", millis)));
        boolean rejected = event.notExecuted() || event.status() == MISDIRECTED_REQUEST;
        if (rejected) {
            effects.add(new FleetEffect.CancelAttempt(event.attempt()));
            FleetState corrected = event.status() == MISDIRECTED_REQUEST
                    ? withTarget(limited, id, target -> withoutAdapter(target, request))
                    : limited;
            // A target that states when to retry is healthy; it gets no requests until then.
            boolean healthy = event.statement().retryDelayMillis().isPresent();
            FleetState known = healthy ? corrected : withTarget(corrected, id, FleetTarget::answeredWithError);
            return retryOrRefuse(
                    known, request, id, false, "rejected with " + event.status(), event.nowMillis(), effects);
        }
        boolean cannotContinue = request.answerStarted() && !(event.status() == OK && event.sameType());
        boolean failed = event.status() >= FIRST_SERVER_ERROR || cannotContinue;
        FleetState updated = withTarget(
                limited,
                id,
                target ->
                        failed ? target.answeredWithError() : target.succeeded().withAnswerBegun(event.attempt()));
        boolean resumes = request.executions() > 0 && request.route().kind() == RouteKind.STREAMING;
        if (failed && (mayRetryAfterExecution(updated, request, event.nowMillis()) || resumes)
                || cannotContinue
                || REJECTION_STATUSES.contains(event.status())) {
            effects.add(new FleetEffect.CancelAttempt(event.attempt()));
            return retryOrRefuse(
                    updated, request, id, true, "answered with " + event.status(), event.nowMillis(), effects);
        }
        effects.add(new FleetEffect.RelayAnswer(event.attempt()));
        // A target may fail a request without running it, and may still crash when only the head of a stream has come.
        boolean finished = request.route().kind() != RouteKind.STREAMING && event.status() < FIRST_SERVER_ERROR;
        FleetState recorded = finished
                ? recordAnswer(updated, request, (RequestPhase.Running) request.phase(), event.nowMillis(), effects)
                : updated;
        return recorded.with(request.withAnswerStarted(new RequestPhase.Running(event.attempt(), id, true, false)));
    }

    /** Learns the prefill speed from the time to the first bytes, which includes the prompts queued before it. */
    FleetState onStreaming(FleetState state, FleetEvent.AttemptStreaming event, List<FleetEffect> effects) {
        Optional<FleetRequest> found = findRunning(state, event.attempt());
        if (found.isEmpty()) {
            return state;
        }
        RequestPhase.Running running = (RequestPhase.Running) found.get().phase();
        FleetState begun = recordAnswer(
                state.with(found.get().withPhase(running.withStreaming())),
                found.get(),
                running,
                event.nowMillis(),
                effects);
        return findOutstanding(begun, running)
                .map(attempt -> recordPrefillTime(begun, found.get(), running, attempt, event.nowMillis()))
                .orElse(begun);
    }

    private FleetState recordAnswer(
            FleetState state,
            FleetRequest request,
            RequestPhase.Running running,
            long nowMillis,
            List<FleetEffect> effects) {
        FleetTarget target = state.targets().get(running.target());
        return findOutstanding(state, running)
                .map(attempt ->
                        quarantine.onAnswerBegun(state, request, target, attempt.sentAtMillis(), nowMillis, effects))
                .orElse(state);
    }

    private static FleetState recordPrefillTime(
            FleetState state,
            FleetRequest request,
            RequestPhase.Running running,
            OutstandingAttempt attempt,
            long nowMillis) {
        FleetTarget target = state.targets().get(running.target());
        FleetState begun = state.with(target.withFirstByte(running.attempt(), nowMillis));
        if (attempt.late()) {
            // Requests at normal priority went before it, so its time does not show the engine's speed.
            return begun;
        }
        double decodingMillis =
                TargetChooser.decodingMillis(target.outstanding().size());
        double prefillMillis = nowMillis - attempt.sentAtMillis() - decodingMillis;
        PrefillStatistics statistics = state.prefillStatistics(request.service());
        long tokens = attempt.prefillTokens() + attempt.queuedAheadTokens();
        return begun.with(request.service(), statistics.withPrefill(tokens, prefillMillis))
                .with(CostFlow.learnFirstByte(state, request, target, attempt, nowMillis));
    }

    FleetState onCompleted(FleetState state, FleetEvent.AttemptCompleted event) {
        Optional<FleetRequest> found = findRunning(state, event.attempt());
        if (found.isEmpty()) {
            return state;
        }
        RequestPhase.Running running = (RequestPhase.Running) found.get().phase();
        String service = found.get().service();
        FleetState learnt = findOutstanding(state, running)
                .map(attempt ->
                        state.prefillStatistics(service).withCompletedRun(event.nowMillis() - attempt.sentAtMillis()))
                .map(statistics -> state.with(service, statistics))
                .map(next -> next.with(CostFlow.learnEnd(
                        state,
                        found.get(),
                        running.target(),
                        findOutstanding(state, running).orElseThrow(),
                        event)))
                .orElse(state);
        return DispatchFlow.releaseAttempt(learnt, running).without(found.get());
    }

    private static long sentAtMillis(FleetState state, FleetRequest request, long nowMillis) {
        return findOutstanding(state, (RequestPhase.Running) request.phase())
                .map(OutstandingAttempt::sentAtMillis)
                .orElse(nowMillis);
    }

    private static Optional<OutstandingAttempt> findOutstanding(FleetState state, RequestPhase.Running running) {
        return Optional.ofNullable(state.targets().get(running.target()))
                .map(target -> target.outstanding().get(running.attempt()));
    }

    FleetState onFailed(FleetState state, FleetEvent.AttemptFailed event, List<FleetEffect> effects) {
        Optional<FleetRequest> found = findRunning(state, event.attempt());
        if (found.isEmpty()) {
            return state;
        }
        String id = ((RequestPhase.Running) found.get().phase()).target();
        boolean connectionFailed =
                event.failure() == AttemptFailure.CONNECT_FAILED || event.failure() == AttemptFailure.CONNECTION_LOST;
        if (event.failure() == AttemptFailure.PERMISSION_ENDED) {
            return redispatchOrRefuse(state, found.get(), event.nowMillis(), effects);
        }
        FleetState updated = withTarget(
                recordLoss(state, found.get(), event, effects),
                id,
                target -> connectionFailed
                        ? WarmUpFlow.onUnreachable(
                                state, target.unreachable(event.nowMillis()), event.nowMillis(), effects)
                        : target.answeredWithError());
        FleetRequest request = event.written() ? found.get().withArrival() : found.get();
        return retryOrRefuse(
                updated, request, id, event.written(), event.failure().name(), event.nowMillis(), effects);
    }

    /** Records a lost connection as evidence against the request, if its answer had not begun. */
    private FleetState recordLoss(
            FleetState state, FleetRequest request, FleetEvent.AttemptFailed event, List<FleetEffect> effects) {
        RequestPhase.Running running = (RequestPhase.Running) request.phase();
        FleetTarget target = state.targets().get(running.target());
        boolean waited = event.failure() == AttemptFailure.CONNECTION_LOST && event.written() && !running.streaming();
        if (!waited || target == null) {
            return state;
        }
        // The attempt has ended, so it must not be cancelled with the others if its parts are quarantined now.
        return findOutstanding(state, running)
                .map(attempt -> quarantine.onEngineLost(
                        state.without(request), request, target, attempt.sentAtMillis(), event.nowMillis(), effects))
                .orElse(state);
    }

    /** Dispatches a request again whose attempt was never sent; the target is not blamed. */
    private FleetState redispatchOrRefuse(
            FleetState state, FleetRequest request, long nowMillis, List<FleetEffect> effects) {
        FleetState released = DispatchFlow.releaseAttempt(state, (RequestPhase.Running) request.phase());
        if (nowMillis >= request.expiresAtMillis()) {
            String reason = "deadline passed before a connection was established";
            return dispatch.refuseUnserved(released, request, RefusalCode.NO_CAPACITY, reason, nowMillis, effects);
        }
        return dispatch.dispatch(released, request, nowMillis, effects);
    }

    /** Cancels the attempt of a caller that left; an unsafe call, which must run at most once, runs to its end. */
    FleetState onCallerLeft(FleetState state, FleetEvent.CallerLeft event, List<FleetEffect> effects) {
        FleetRequest request = state.requests().get(event.requestId());
        if (request == null) {
            return state;
        }
        return switch (request.phase()) {
            case RequestPhase.Running running
            when request.route().kind() == RouteKind.UNSAFE -> state.with(request.withoutCaller());
            case RequestPhase.Running running -> {
                effects.add(new FleetEffect.CancelAttempt(running.attempt()));
                effects.add(new FleetEffect.ForgetRequest(
                        request.id(), request.call().callerRequestId()));
                yield DispatchFlow.releaseAttempt(state, running).without(request);
            }
            default -> {
                effects.add(new FleetEffect.ForgetRequest(
                        request.id(), request.call().callerRequestId()));
                yield state.without(request);
            }
        };
    }

    /** Retries the request at another target if it may run again, and refuses it or breaks its answer off otherwise. */
    private FleetState retryOrRefuse(
            FleetState state,
            FleetRequest original,
            String target,
            boolean mayHaveRun,
            String reason,
            long nowMillis,
            List<FleetEffect> effects) {
        RequestPhase.Running running = (RequestPhase.Running) original.phase();
        long sentAtMillis = sentAtMillis(state, original, nowMillis);
        boolean adapterMissing = !mayHaveRun && original.call().adapter().isPresent();
        FleetRequest request = adapterMissing ? original : original.withFailedAttempt(target, mayHaveRun);
        FleetState released = DispatchFlow.releaseAttempt(state, running).with(request);
        if (request.callerLeft()) {
            effects.add(
                    new FleetEffect.ForgetRequest(request.id(), request.call().callerRequestId()));
            return released.without(request);
        }
        effects.add(FleetEffect.Note.of(
                "attempt_failed",
                "request",
                request.call().callerRequestId(),
                "target",
                target,
                "reason",
                reason,
                "may_have_run",
                mayHaveRun,
                "attempts",
                request.attempts(),
                "waited_ms",
                nowMillis - sentAtMillis,
                "answer_begun",
                running.streaming(),
                "prompt_parts",
                RequestTraits.formatParts(request.call().prompt())));
        if (mayRetry(released, request, nowMillis)) {
            FleetState charged = spendRetry(released, request, nowMillis);
            return dispatch.dispatch(charged, request, nowMillis, effects);
        }
        if (request.answerStarted()) {
            effects.add(new FleetEffect.BreakAnswer(request.id(), request.call().callerRequestId(), reason));
            return released.without(request);
        }
        RefusalCode code = request.hasNotRun() ? RefusalCode.NO_CAPACITY : RefusalCode.TARGET_FAILED;
        return dispatch.refuseUnserved(released, request, code, reason + " at " + target, nowMillis, effects);
    }

    private static boolean mayRetryAfterExecution(FleetState state, FleetRequest request, long nowMillis) {
        FleetRequest failed = request.withFailedAttempt("", true);
        return mayRetry(state, failed, nowMillis);
    }

    private static boolean mayRetry(FleetState state, FleetRequest request, long nowMillis) {
        boolean answered = request.phase() instanceof RequestPhase.Running running && running.answered();
        boolean allowed = request.hasNotRun()
                || request.route().repeatable()
                        && request.executions() < request.route().maximumAttempts()
                        && (!answered || request.route().kind() == RouteKind.STREAMING);
        return allowed
                && (request.hasNotRun() || QuarantineFlow.mayRepeat(state, request))
                && request.attempts() < MAX_ATTEMPTS
                && (!request.arrived()
                        || retryBudget(state, request.service(), nowMillis).allowsRetry());
    }

    static FleetState creditRetries(FleetState state, String service, long nowMillis) {
        return state.with(service, retryBudget(state, service, nowMillis).credit(state.bounds()));
    }

    /** Takes a retry from the budget, in which only the arrivals after the first one at a target count. */
    private static FleetState spendRetry(FleetState state, FleetRequest request, long nowMillis) {
        if (!request.arrived()) {
            return state;
        }
        return state.with(
                request.service(),
                retryBudget(state, request.service(), nowMillis).spend());
    }

    private static RetryBudget retryBudget(FleetState state, String service, long nowMillis) {
        RetryBudget known = state.retries().get(service);
        return known == null
                ? RetryBudget.full(state.bounds(), state.memberCount(), nowMillis)
                : known.accrue(state.bounds(), state.memberCount(), nowMillis);
    }

    /** Removes an adapter that the engine does not hold; its next report tells which adapters it does hold. */
    private static FleetTarget withoutAdapter(FleetTarget target, FleetRequest request) {
        if (request.call().adapter().isEmpty() || request.call().model().isEmpty()) {
            return target;
        }
        String model = request.call().model().get();
        Set<String> held = new HashSet<>(target.adapters().getOrDefault(model, Set.of()));
        held.remove(request.call().adapter().get());
        Map<String, Set<String>> adapters = new HashMap<>(target.adapters());
        adapters.put(model, Set.copyOf(held));
        return target.withAdapters(Map.copyOf(adapters));
    }

    private static Optional<FleetRequest> findRunning(FleetState state, AttemptId attempt) {
        return Optional.ofNullable(state.requests().get(attempt.requestId()))
                .filter(request -> request.phase() instanceof RequestPhase.Running running
                        && running.attempt().equals(attempt));
    }

    private static FleetState withTarget(FleetState state, String id, UnaryOperator<FleetTarget> change) {
        FleetTarget target = state.targets().get(id);
        return target == null ? state : state.with(change.apply(target));
    }
}
