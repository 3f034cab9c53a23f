package org.jackdawbeam.logic.entry;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.UnaryOperator;
import org.jackdawbeam.logic.request.Phase;
import org.jackdawbeam.logic.request.Request;
import org.jackdawbeam.logic.request.RetryDecision;
import org.jackdawbeam.logic.request.RetryPolicy;
import org.jackdawbeam.logic.target.TargetState;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;

/** Handles progress, completion and failure of attempts at targets. Events of superseded attempts are ignored. */
final class AttemptFlow {
    private final DispatchFlow dispatch;
    private final RequestFinisher finisher;

    AttemptFlow(DispatchFlow dispatch, RequestFinisher finisher) {
        this.dispatch = dispatch;
        this.finisher = finisher;
    }

    Transition onWritten(EntryState state, Event.AttemptWritten event) {
        return current(state, event.attempt())
                .map(request -> Transition.to(state.withRequest(request.withWritten())))
                .orElse(Transition.to(state));
    }

    Transition onAnswering(EntryState state, Event.AttemptAnswering event) {
        return current(state, event.attempt())
                .map(request -> Transition.to(
                        withTarget(state, request, target -> target.answered(event.attempt(), event.nowMillis()))))
                .orElse(Transition.to(state));
    }

    Transition onCompleted(EntryState state, Event.AttemptCompleted event) {
        Optional<Request> request = current(state, event.attempt());
        if (request.isEmpty()) {
            return Transition.to(state);
        }
        EntryState released = withTarget(
                state,
                request.get(),
                target -> target.completed(
                        event.attempt(),
                        event.slowGapShare(),
                        state.membership().entryCount()));
        return finisher.complete(released, request.get(), event.generatedTokens(), event.answer(), event.nowMillis())
                .with(new Effect.CompleteRequest(event.attempt()))
                .then(next -> dispatch.drainAll(next, event.nowMillis()));
    }

    Transition onFailed(EntryState state, Event.AttemptFailed event) {
        Optional<Request> found = current(state, event.attempt());
        if (found.isEmpty()) {
            return Transition.to(state);
        }
        Request before = found.get();
        String target = ((Phase.Running) before.phase()).target();
        boolean mayHaveRun = event.mayHaveRun();
        Request request = before.failedAt(target, mayHaveRun, event.relayedTokens());
        EntryState released = withTarget(state, before, known -> afterFailure(known, before, event));
        RetryDecision decision = RetryPolicy.decide(
                request, event.failure(), mayHaveRun, released.requests().budget(), event.nowMillis());
        Transition next = switch (decision) {
            case RetryDecision.GiveUp giveUp -> finisher.refuse(released, request, giveUp.refusal(), event.nowMillis());
            case RetryDecision.Retry again -> retry(released, request, again, event.nowMillis());
        };
        return next.then(current -> dispatch.drainAll(current, event.nowMillis()));
    }

    Transition onBackoffEnded(EntryState state, Event.BackoffEnded event) {
        return state.requests()
                .find(event.requestId())
                .filter(request -> request.phase() instanceof Phase.BackingOff)
                .map(request -> dispatch.enqueue(state, request, event.nowMillis()))
                .orElse(Transition.to(state));
    }

    /**
     * Cancels repeatable work whose caller has disconnected. Work that must not run twice continues to its end, so that
     * its answer can be stored.
     */
    Transition onCallerLeft(EntryState state, Event.CallerLeft event) {
        Optional<Request> found = state.requests().find(event.requestId());
        if (found.isEmpty()) {
            return Transition.to(state);
        }
        Request request = found.get().withCallerDisconnected();
        EntryState next = state.withRequest(request);
        return switch (request.phase()) {
            case Phase.Running running
            when request.work().repeatable() -> Transition.to(next).with(new Effect.CancelAttempt(running.attempt()));
            case Phase.Running running -> Transition.to(next);
            case Phase.Borrowing borrowing -> Transition.to(next);
            default -> {
                ExecutionStatus ran = request.written() ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO;
                Refusal refusal = new Refusal(RefusalCode.CALLER_LEFT, ran, OptionalLong.empty());
                yield finisher.refuse(next, request, refusal, event.nowMillis());
            }
        };
    }

    private Transition retry(EntryState state, Request request, RetryDecision.Retry again, long nowMillis) {
        EntryState paid = state.withRequests(state.requests().withBudget(again.budget()));
        if (again.delayMillis() <= 0) {
            return dispatch.enqueue(paid, request, nowMillis);
        }
        Request waiting = request.withPhase(new Phase.BackingOff());
        return Transition.to(paid.withRequest(waiting))
                .with(new Effect.Schedule(again.delayMillis(), new Event.BackoffEnded(nowMillis, request.id())));
    }

    private static TargetState afterFailure(TargetState target, Request request, Event.AttemptFailed event) {
        boolean targetNotAtFault = request.callerLeft() || event.failure() == AttemptFailure.REJECTED;
        return targetNotAtFault ? target.released(event.attempt()) : target.failed(event.attempt(), event.nowMillis());
    }

    private static Optional<Request> current(EntryState state, AttemptId attempt) {
        return state.requests().find(attempt.requestId()).filter(request -> request.isRunning(attempt));
    }

    private static EntryState withTarget(EntryState state, Request request, UnaryOperator<TargetState> change) {
        String name = ((Phase.Running) request.phase()).target();
        TargetState target = state.targets().get(name);
        return target == null ? state : state.withTarget(change.apply(target));
    }
}
