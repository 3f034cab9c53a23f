package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.jackdawbeam.logic.cost.CostAccount;
import org.jackdawbeam.logic.cost.UrgencyMix;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.RouteKind;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptId;

/** Sends admitted requests to targets, and refuses those that cannot be served. */
final class DispatchFlow {
    private static final long RETRY_MILLIS = 400; // roughly the load of a model from host memory
    /** Repeats a lost request for placement well before the caller gives up. */
    private static final long PLACEMENT_REQUEST_INTERVAL_MILLIS = 400;

    private static final long MIN_REMAINING_MILLIS = 150; // less is too short for the prefill of a prompt
    private static final long LIMITED_RETRY_MILLIS = 500; // plus up to as much again, by request

    private static final String KEY_WITHDRAWN = "key withdrawn while the request waited";

    private final QuotaFlow quota;
    private final AdapterFlow adapters;

    DispatchFlow(QuotaFlow quota, AdapterFlow adapters) {
        this.quota = quota;
        this.adapters = adapters;
    }

    FleetState countDemand(FleetState state, FleetRequest request, long nowMillis) {
        Optional<String> model = request.call().model();
        if (model.isEmpty()) {
            return state;
        }
        DemandKey key = new DemandKey(request.service(), model.get());
        long tokens = request.call().inputTokens();
        return state.withDemand(key, tokens, request.route().objectiveMillis(), nowMillis)
                .with(
                        request.service(),
                        state.prefillStatistics(request.service()).withRequestedPrompt(tokens));
    }

    /** Sends the request to the best target, makes it wait for a replica or a paused target, or refuses it. */
    FleetState dispatch(FleetState state, FleetRequest request, long nowMillis, List<FleetEffect> effects) {
        if (request.hasNotRun() && StopFlow.endsBefore(state, request, nowMillis)) {
            return refuseUnserved(
                    state,
                    request,
                    RefusalCode.NOT_READY,
                    "may not be answered before the process ends",
                    nowMillis,
                    effects);
        }
        Optional<String> obstacle = findObstacle(state, request, nowMillis);
        if (obstacle.isPresent()) {
            RefusalCode code =
                    obstacle.get().equals(KEY_WITHDRAWN) ? RefusalCode.KEY_WITHDRAWN : RefusalCode.HOST_ISOLATED;
            return refuse(state, request, refusal(request, code, RETRY_MILLIS), obstacle.get(), effects);
        }
        QuarantineGate.Result gate =
                QuarantineGate.check(state, request.call(), request.id(), request.attempts() == 0, nowMillis, effects);
        if (gate.blocked().isPresent()) {
            return refuseQuarantined(state, request, gate.blocked().get(), nowMillis, effects);
        }
        return dispatchUnblocked(gate.state(), request, nowMillis, effects);
    }

    private FleetState dispatchUnblocked(
            FleetState state, FleetRequest request, long nowMillis, List<FleetEffect> effects) {
        Candidates candidates = Candidates.of(state, request, nowMillis);
        boolean engine = candidates.engine();
        List<FleetTarget> usable = candidates.usable();
        Optional<TargetChooser.Choice> choice =
                TargetChooser.best(state, request, candidates.capable(), engine, nowMillis);
        if (choice.isPresent()
                && request.tried().contains(choice.get().target().description().id())) {
            return refuseUnserved(
                    state,
                    request,
                    RefusalCode.NO_CAPACITY,
                    "every target has already failed the request",
                    nowMillis,
                    effects);
        }
        if (choice.isPresent()) {
            return engine
                    ? admit(state, request, choice.get(), nowMillis, effects)
                    : send(state, request, choice.get(), false, nowMillis, effects);
        }
        OptionalLong pauseEnds = candidates.pauseEndsAtMillis(nowMillis);
        if (pauseEnds.isPresent()) {
            return waitForPausedTargets(state, request, pauseEnds.getAsLong(), nowMillis, effects);
        }
        List<FleetTarget> limited = candidates.limited();
        if (!limited.isEmpty() && (usable.isEmpty() || !engine)) {
            return waitForLimitedTargets(state, request, limited, nowMillis, effects);
        }
        if (!engine || usable.isEmpty()) {
            Refusal refusal = refusal(request, RefusalCode.NO_CAPACITY, RETRY_MILLIS);
            return refuse(state, request, refusal, "service has no target", effects);
        }
        return requestPlacement(state, request, usable, nowMillis, effects);
    }

    /** Sends the request to the engine that would serve it soonest, or refuses it if that is too late. */
    private FleetState admit(
            FleetState state,
            FleetRequest request,
            TargetChooser.Choice choice,
            long nowMillis,
            List<FleetEffect> effects) {
        long typicalMillis = typicalPrefillMillis(state, request, choice);
        return switch (Admission.judge(request, choice, typicalMillis, nowMillis)) {
            case Admission.Verdict.InTime inTime -> send(state, request, choice, false, nowMillis, effects);
            case Admission.Verdict.Late late -> send(state, request, choice, true, nowMillis, effects);
            case Admission.Verdict.TooLate tooLate -> {
                Refusal refusal = refusal(request, RefusalCode.QUEUE_FULL, tooLate.retryAfterMillis());
                FleetState returned = request.hasNotRun() ? quota.refund(state, request, nowMillis, effects) : state;
                String reason = "first token expected in " + choice.estimateMillis()
                        + " ms at the best engine, behind others in " + choice.lateEstimateMillis() + " ms";
                yield refuse(returned, request, refusal, reason, effects);
            }
        };
    }

    /** Makes a request wait until it may be sent within a target's limit, or refuses it if that is too late. */
    private FleetState waitForLimitedTargets(
            FleetState state,
            FleetRequest request,
            List<FleetTarget> limited,
            long nowMillis,
            List<FleetEffect> effects) {
        long inTime = request.arrivedAtMillis() + request.route().objectiveMillis();
        OptionalLong admittedAt = limited.stream()
                .flatMapToLong(target -> TargetLimitGate.admittedAtMillis(state, target, nowMillis).stream())
                .min();
        if (admittedAt.isPresent() && admittedAt.getAsLong() <= inTime) {
            return waitForPausedTargets(state, request, admittedAt.getAsLong(), nowMillis, effects);
        }
        // Callers that are refused at the same time come back at different times.
        long retryMillis = LIMITED_RETRY_MILLIS
                + Math.floorMod(request.call().callerRequestId().hashCode(), LIMITED_RETRY_MILLIS);
        FleetState returned = request.hasNotRun() ? quota.refund(state, request, nowMillis, effects) : state;
        String reason = "every target limits the requests of all entries or is cold, the first is "
                + limited.getFirst().description().id();
        return refuse(returned, request, refusal(request, RefusalCode.QUEUE_FULL, retryMillis), reason, effects);
    }

    /** Makes a request wait for paused targets if it can still meet its objective, and refuses it otherwise. */
    private FleetState waitForPausedTargets(
            FleetState state, FleetRequest request, long endsAtMillis, long nowMillis, List<FleetEffect> effects) {
        long pauseMillis = endsAtMillis - nowMillis;
        String reason = "targets accept no requests for " + pauseMillis + " ms";
        if (endsAtMillis > request.arrivedAtMillis() + request.route().objectiveMillis()) {
            FleetState returned = request.hasNotRun() ? quota.refund(state, request, nowMillis, effects) : state;
            return refuse(returned, request, refusal(request, RefusalCode.QUEUE_FULL, pauseMillis), reason, effects);
        }
        if (request.phase() instanceof RequestPhase.AwaitingReplica) {
            return state;
        }
        noteWait(request, reason, nowMillis, effects);
        return state.with(request.withPhase(new RequestPhase.AwaitingReplica(nowMillis, nowMillis)));
    }

    /** Dispatches waiting requests again, and refuses those too close to their deadline. */
    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetRequest request : state.requests().values()) {
            if (!(request.phase() instanceof RequestPhase.AwaitingReplica awaiting)) {
                continue;
            }
            if (request.expiresAtMillis() - nowMillis < MIN_REMAINING_MILLIS) {
                Refusal refusal = refusal(request, RefusalCode.NO_CAPACITY, RETRY_MILLIS);
                String reason = "no replica of the model in " + (nowMillis - awaiting.sinceMillis()) + " ms";
                next = refuse(next, request, refusal, reason, effects);
            } else {
                next = dispatch(next, request, nowMillis, effects);
            }
        }
        return next;
    }

    /** Ends requests whose deadline has passed. */
    FleetState expire(FleetState state, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetRequest request : state.requests().values()) {
            if (nowMillis >= request.expiresAtMillis()) {
                next = expire(next, request, effects);
            }
        }
        return next;
    }

    /** Refuses a request and removes it from the state. */
    FleetState refuse(
            FleetState state, FleetRequest request, Refusal refusal, String reason, List<FleetEffect> effects) {
        effects.add(new FleetEffect.RefuseRequest(
                request.id(), request.call().callerRequestId(), refusal, reason, request.traits()));
        return state.without(request);
    }

    FleetState refuseUnserved(
            FleetState state,
            FleetRequest request,
            RefusalCode code,
            String reason,
            long nowMillis,
            List<FleetEffect> effects) {
        FleetState next = request.hasNotRun() ? quota.refund(state, request, nowMillis, effects) : state;
        return refuse(next, request, refusal(request, code, RETRY_MILLIS), reason, effects);
    }

    /** Refuses a request that is quarantined, or whose prompt contains quarantined parts. */
    FleetState refuseQuarantined(
            FleetState state,
            FleetRequest request,
            QuarantineGate.Blocked blocked,
            long nowMillis,
            List<FleetEffect> effects) {
        FleetState next = request.hasNotRun() ? quota.refund(state, request, nowMillis, effects) : state;
        Refusal refusal = refusal(request, blocked.code(), blocked.retryAfterMillis());
        return refuse(next, request, refusal, blocked.reason(), effects);
    }

    static FleetState releaseAttempt(FleetState state, RequestPhase.Running running) {
        FleetTarget target = state.targets().get(running.target());
        return target == null ? state : state.with(target.withoutAttempt(running.attempt()));
    }

    /** Returns why a request that was admitted must not be sent any more, if there is a reason. */
    private static Optional<String> findObstacle(FleetState state, FleetRequest request, long nowMillis) {
        if (request.workspace().isEmpty()) {
            return Optional.empty();
        }
        if (!FeedFlow.withdrawalsUpToDate(state, nowMillis)) {
            return Optional.of("configuration not read recently");
        }
        String owner = request.call()
                .key()
                .flatMap(key -> state.configuration()
                        .map(known -> known.workspaceByKey().get(key)))
                .map(workspace -> workspace.name())
                .orElse("");
        return owner.equals(request.workspace().get()) ? Optional.empty() : Optional.of(KEY_WITHDRAWN);
    }

    private FleetState send(
            FleetState state,
            FleetRequest request,
            TargetChooser.Choice choice,
            boolean late,
            long nowMillis,
            List<FleetEffect> effects) {
        AttemptId attempt = new AttemptId(request.id(), request.attempts() + 1);
        FleetTarget target = choice.target();
        String id = target.description().id();
        OutstandingAttempt outstandingAttempt = new OutstandingAttempt(
                nowMillis,
                choice.prefillTokens(),
                choice.queuedAheadTokens(),
                choice.estimateMillis(),
                late,
                false,
                choice.running(),
                request.call().expectedOutputTokens(),
                OptionalLong.empty());
        int priority = request.enginePriority();
        CostAccount costs =
                request.call().model().isEmpty() ? state.costs() : state.costs().withSent(request.service(), priority);
        UrgencyMix mix = costs.mix(request.service());
        FleetTarget updated = TargetLimitGate.spend(target)
                .withAttempt(attempt, outstandingAttempt)
                .withPrefixes(target.prefixes().withSeen(TargetChooser.prefixHashes(request), nowMillis));
        effects.add(new FleetEffect.StartAttempt(
                attempt,
                request.call().callerRequestId(),
                target.description(),
                request.expiresAtMillis(),
                sendUntilMillis(state, request, target, nowMillis),
                request.workspace(),
                late ? mix.latePriority(priority) : priority,
                request.route().kind() == RouteKind.STREAMING && request.route().resumable(),
                choice.estimateMillis(),
                choice.prefillTokens(),
                choice.queuedAheadTokens(),
                request.traits()));
        PrefillStatistics statistics = state.prefillStatistics(request.service())
                .withSentPrompt(request.call().inputTokens(), choice.prefillTokens());
        return state.with(updated)
                .with(costs)
                .withSentPrefill(request.route().name(), choice.prefillTokens())
                .with(request.service(), statistics)
                .with(request.withAttempt(new RequestPhase.Running(attempt, id, false, false)));
    }

    /** Returns the time until which the key is known to be valid and the target may get requests. */
    private static long sendUntilMillis(FleetState state, FleetRequest request, FleetTarget target, long nowMillis) {
        long keyValidUntil =
                request.workspace().isPresent() ? FeedFlow.withdrawalsValidUntilMillis(state) : Long.MAX_VALUE;
        return LongStream.of(
                        keyValidUntil,
                        EvacuationFlow.sendUntilMillis(state, target, nowMillis),
                        WarmUpFlow.sendUntilMillis(state, target, nowMillis),
                        target.goneAtMillis().orElse(Long.MAX_VALUE))
                .min()
                .getAsLong();
    }

    private static long typicalPrefillMillis(FleetState state, FleetRequest request, TargetChooser.Choice choice) {
        double tokens =
                state.typicalPrefillTokens().getOrDefault(request.route().name(), (double) choice.prefillTokens());
        return Math.round(state.prefillStatistics(request.service()).prefillMillis(tokens));
    }

    private FleetState requestPlacement(
            FleetState state,
            FleetRequest request,
            List<FleetTarget> usable,
            long nowMillis,
            List<FleetEffect> effects) {
        boolean alreadyWaiting = request.phase() instanceof RequestPhase.AwaitingReplica;
        RequestPhase.AwaitingReplica before = request.phase() instanceof RequestPhase.AwaitingReplica awaiting
                ? awaiting
                : new RequestPhase.AwaitingReplica(nowMillis, nowMillis);
        if (alreadyWaiting && nowMillis - before.requestedAtMillis() < PLACEMENT_REQUEST_INTERVAL_MILLIS) {
            return state;
        }
        String model = request.call().model().orElseThrow();
        Optional<String> engine = request.call()
                .adapter()
                .flatMap(adapter -> TargetChooser.engineForAdapter(state, request, usable, nowMillis));
        FleetMessage.PlacementWish placementWish = new FleetMessage.PlacementWish(
                state.self().id(), request.service(), model, request.call().adapter(), engine);
        boolean held = usable.stream().anyMatch(target -> target.holds(model, Optional.empty()));
        ModelWaits waits = state.modelWaits();
        FleetState next = state.with(
                        request.withPhase(new RequestPhase.AwaitingReplica(before.sinceMillis(), nowMillis)))
                .with(held ? waits : waits.withAsked(new DemandKey(request.service(), model), nowMillis));
        if (!alreadyWaiting) {
            String reason = held ? "no engine holds the adapter" : "no engine holds the model";
            noteWait(request, reason, nowMillis, effects);
        }
        if (LeadershipFlow.isLeader(state, nowMillis)) {
            return adapters.onWish(next, nowMillis, placementWish, effects);
        }
        LeadershipFlow.leader(state, nowMillis)
                .ifPresent(leader -> effects.add(
                        new FleetEffect.SendPeerMessage(leader.member().peerAddress(), placementWish)));
        return next;
    }

    private static void noteWait(FleetRequest request, String reason, long nowMillis, List<FleetEffect> effects) {
        effects.add(FleetEffect.Note.of(
                "request_waiting", request, "reason", reason, "left_ms", request.expiresAtMillis() - nowMillis));
    }

    private FleetState expire(FleetState state, FleetRequest request, List<FleetEffect> effects) {
        String caller = request.call().callerRequestId();
        if (!(request.phase() instanceof RequestPhase.Running running)) {
            return refuse(
                    state,
                    request,
                    refusal(request, RefusalCode.NO_CAPACITY, RETRY_MILLIS),
                    "deadline passed",
                    effects);
        }
        FleetState released = releaseAttempt(state, running);
        effects.add(new FleetEffect.CancelAttempt(running.attempt()));
        if (running.answered()) {
            effects.add(new FleetEffect.BreakAnswer(request.id(), caller, "deadline passed during the answer"));
            return released.without(request);
        }
        Refusal refusal = Refusal.unknown(RefusalCode.DEADLINE_EXCEEDED);
        return refuse(released, request, refusal, "no answer from " + running.target(), effects);
    }

    private static Refusal refusal(FleetRequest request, RefusalCode code, long retryAfterMillis) {
        return request.hasNotRun()
                ? Refusal.notRun(code, retryAfterMillis)
                : Refusal.unknown(RefusalCode.TARGET_FAILED);
    }
}
