package org.jackdawbeam.logic.fleet;

import java.util.List;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;

/**
 * Performs a graceful shutdown: the entry leaves the directory first, then the fleet, and stops serving last. Every
 * open request is ended. Requests still waiting when the entry drains are refused, because another entry can serve them
 * sooner; requests without an answer at exit are reported with an unknown outcome.
 */
final class StopFlow {
    private static final long LEAVING_MILLIS = 3_000; // callers have refreshed the directory by then
    private static final long LEAVING_GRACE_DIVISOR = 2; // leaves half of a short grace period for draining
    private static final long END_MARGIN_MILLIS = 400; // reserved for closing connections before the process is killed

    private final PeerFlow peers;
    private final DispatchFlow dispatch;

    StopFlow(PeerFlow peers, DispatchFlow dispatch) {
        this.peers = peers;
        this.dispatch = dispatch;
    }

    /**
     * Returns whether a request that must not be repeated would probably still be running when the process ends;
     * another entry can run it to its end. Deadlines at engines are far beyond the usual duration of an answer.
     */
    static boolean endsBefore(FleetState state, FleetRequest request, long nowMillis) {
        if (!(state.stop() instanceof StopStage.Leaving leaving)
                || request.route().repeatable()) {
            return false;
        }
        long endsAt = leaving.sinceMillis() + state.bounds().graceMillis() - END_MARGIN_MILLIS;
        long latest = request.expiresAtMillis();
        boolean engine = request.call().model().isPresent();
        long usual = nowMillis
                + Math.round(state.prefillStatistics(request.service()).longRunMillis());
        return endsAt < (engine ? Math.min(latest, usual) : latest);
    }

    FleetState onRequest(FleetState state, long nowMillis, List<FleetEffect> effects) {
        if (!(state.stop() instanceof StopStage.Serving)) {
            return state;
        }
        effects.add(FleetEffect.Note.of(
                "stop_requested", "open_requests", state.requests().size()));
        FleetState leaving = LeadershipFlow.resign(state.with(new StopStage.Leaving(nowMillis)), "stop", effects);
        return peers.sendDigest(leaving, nowMillis, effects);
    }

    FleetState onBuffered(FleetState state, FleetEvent.AnswerBuffered event) {
        return state.withBufferedAnswers(state.bufferedAnswers().plus(event.requestId()));
    }

    FleetState onWritten(FleetState state, FleetEvent.AnswerWritten event) {
        return state.withBufferedAnswers(state.bufferedAnswers().minus(event.requestId()));
    }

    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        return switch (state.stop()) {
            case StopStage.Leaving leaving
            when nowMillis - leaving.sinceMillis() >= leavingMillis(state) -> {
                effects.add(new FleetEffect.StopListening());
                effects.add(new FleetEffect.Withdraw(state.self().id()));
                yield refuseWaiting(state.with(new StopStage.Draining(leaving.sinceMillis())), nowMillis, effects);
            }
            case StopStage.Draining draining -> {
                long age = nowMillis - draining.sinceMillis();
                boolean over = age >= state.bounds().graceMillis() - END_MARGIN_MILLIS;
                boolean finished =
                        state.requests().isEmpty() && state.bufferedAnswers().isEmpty();
                boolean idle = finished && age >= leavingMillis(state) + END_MARGIN_MILLIS;
                yield over || idle ? exit(state, nowMillis, effects) : refuseWaiting(state, nowMillis, effects);
            }
            default -> state;
        };
    }

    private static long leavingMillis(FleetState state) {
        return Math.min(LEAVING_MILLIS, state.bounds().graceMillis() / LEAVING_GRACE_DIVISOR);
    }

    private FleetState refuseWaiting(FleetState state, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetRequest request : state.requests().values()) {
            if (!(request.phase() instanceof RequestPhase.Running)) {
                next = dispatch.refuseUnserved(
                        next, request, RefusalCode.NOT_READY, "waited when the entry drained", nowMillis, effects);
            }
        }
        return next;
    }

    private FleetState exit(FleetState state, long nowMillis, List<FleetEffect> effects) {
        FleetState next = refuseWaiting(state, nowMillis, effects);
        int broken = 0;
        for (FleetRequest request : next.requests().values()) {
            if (request.phase() instanceof RequestPhase.Running running) {
                next = endRequest(next, request, running, effects);
                broken += running.answered() ? 1 : 0;
            }
        }
        effects.add(FleetEffect.Note.of(
                "stopped",
                "open_requests",
                state.requests().size(),
                "broken_answers",
                broken,
                "buffered_answers",
                state.bufferedAnswers().size()));
        effects.add(new FleetEffect.Exit());
        return next.with(new StopStage.Stopped());
    }

    private FleetState endRequest(
            FleetState state, FleetRequest request, RequestPhase.Running running, List<FleetEffect> effects) {
        String caller = request.call().callerRequestId();
        FleetState released = DispatchFlow.releaseAttempt(state, running);
        if (running.answered()) {
            effects.add(new FleetEffect.BreakAnswer(request.id(), caller, "process is shutting down"));
            return released.without(request);
        }
        effects.add(new FleetEffect.CancelAttempt(running.attempt()));
        if (request.callerLeft()) {
            effects.add(new FleetEffect.ForgetRequest(request.id(), caller));
            return released.without(request);
        }
        String reason = "no answer from " + running.target() + " before the process ends";
        return dispatch.refuse(released, request, Refusal.unknown(RefusalCode.OUTCOME_UNKNOWN), reason, effects);
    }
}
