package org.jackdawbeam.cli;

import org.jackdawbeam.logic.entry.Effect;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.logic.entry.Event;
import org.jackdawbeam.logic.entry.Transition;
import org.jackdawbeam.logic.request.Phase;
import org.jackdawbeam.logic.request.Request;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.net.entry.TransitionListener;
import org.tinylog.Logger;

/** Logs the transitions that operators need to see, as lines of key=value pairs, and records metrics. */
final class EntryObserver implements TransitionListener {
    private final String host;
    private final EntryMetrics metrics;

    EntryObserver(String host, EntryMetrics metrics) {
        this.host = host;
        this.metrics = metrics;
    }

    @Override
    public void onTransition(EntryState before, Event event, Transition transition, long nanos) {
        metrics.recordEvent(event.getClass().getSimpleName(), nanos);
        if (event instanceof Event.Ticked) {
            metrics.recordState(transition.state());
        }
        logEvent(before, event);
        logState(before, transition.state());
        transition.effects().forEach(this::logEffect);
    }

    @Override
    public void onFailure(Event event, RuntimeException failure) {
        Logger.error(
                failure,
                "event=reducer_failed host={} type={}",
                host,
                event.getClass().getSimpleName());
    }

    private void logEvent(EntryState before, Event event) {
        switch (event) {
            case Event.AttemptCompleted completed ->
                metrics.recordAttempt(targetOf(before, completed.attempt()), "completed");
            case Event.AttemptFailed failed -> logFailure(before, failed);
            case Event.AppendEnded ended -> {
                metrics.recordAppend(ended.accepted());
                if (!ended.accepted()) {
                    Logger.warn(
                            "event=append_failed host={} records={}",
                            host,
                            ended.recordIds().size());
                }
            }
            case Event.OrderAnswered answered ->
                Logger.info(
                        "event=order_answered host={} target={} sequence={} outcome={}",
                        host,
                        answered.target(),
                        answered.sequence(),
                        answered.outcome());
            default -> {
                // All other events are visible in their effects or in the state.
            }
        }
    }

    private void logFailure(EntryState before, Event.AttemptFailed failed) {
        String target = targetOf(before, failed.attempt());
        metrics.recordAttempt(target, failed.failure().name());
        Logger.warn(
                "event=attempt_failed host={} request={} attempt={} target={} failure={} may_have_run={} relayed={}",
                host,
                failed.attempt().requestId(),
                failed.attempt().number(),
                target,
                failed.failure(),
                failed.mayHaveRun(),
                failed.relayedTokens());
    }

    private void logState(EntryState before, EntryState after) {
        if (before.log().folded().version() != after.log().folded().version()) {
            Logger.info(
                    "event=bundle_in_force host={} version={}",
                    host,
                    after.log().folded().version());
        }
        if (before.membership().epochNumber() != after.membership().epochNumber()) {
            Logger.info(
                    "event=epoch_changed host={} epoch={} members={}",
                    host,
                    after.membership().epochNumber(),
                    after.membership()
                            .epoch()
                            .map(epoch -> epoch.members().size())
                            .orElse(0));
        }
        if (before.limits().share() != after.limits().share()) {
            Logger.info(
                    "event=share_changed host={} share={}", host, after.limits().share());
        }
        if (before.membership().self().incarnation()
                != after.membership().self().incarnation()) {
            Logger.warn(
                    "event=new_incarnation host={} incarnation={}",
                    host,
                    after.membership().self().incarnation());
        }
        if (before.pendingWithdrawals().size() < after.pendingWithdrawals().size()) {
            Logger.info(
                    "event=withdrawal_learnt host={} keys={}",
                    host,
                    after.pendingWithdrawals().keySet());
        }
        if (!before.stop().getClass().equals(after.stop().getClass())) {
            Logger.info(
                    "event=stop_phase host={} phase={}",
                    host,
                    after.stop().getClass().getSimpleName());
        }
    }

    private void logEffect(Effect effect) {
        switch (effect) {
            case Effect.CompleteRequest complete -> metrics.recordCompletion();
            case Effect.ReplayAnswer replay -> {
                metrics.recordReplay();
                Logger.info("event=answer_replayed host={} request={}", host, replay.requestId());
            }
            case Effect.RefuseRequest refuse -> {
                metrics.recordRefusal(refuse.refusal());
                Logger.info(
                        "event=request_refused host={} request={} code={} ran={}",
                        host,
                        refuse.requestId(),
                        refuse.refusal().code(),
                        refuse.refusal().ran());
            }
            case Effect.SendOrder order ->
                order.order().items().forEach(item -> {
                    metrics.recordOrder(item.action().name());
                    Logger.info(
                            "event=order_sent host={} target={} sequence={} fencing={} action={} name={}",
                            host,
                            order.target().name(),
                            order.order().sequence(),
                            order.fencing(),
                            item.action(),
                            item.name());
                });
            default -> {
                // Other effects are traffic between processes, which is counted but not logged.
            }
        }
    }

    private static String targetOf(EntryState state, AttemptId attempt) {
        return state.requests()
                .find(attempt.requestId())
                .map(Request::phase)
                .map(phase -> phase instanceof Phase.Running running ? running.target() : "none")
                .orElse("none");
    }
}
