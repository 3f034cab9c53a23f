package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.Route;
import org.jackdawbeam.model.fleet.WeightedService;
import org.jackdawbeam.model.fleet.Workspace;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.pcollections.HashTreePSet;

/** Handles arriving requests: determines the route, checks the key and acquires quota units of the workspace. */
final class RequestFlow {
    private static final long NOT_READY_RETRY_MILLIS = 200; // another entry can accept the request at once
    private static final int QUOTA_WAIT_DIVISOR = 5; // the rest of the objective is left to the target
    private static final long MAX_RETRY_MILLIS = 2_000;

    private final QuotaFlow quota;
    private final DispatchFlow dispatch;

    RequestFlow(QuotaFlow quota, DispatchFlow dispatch) {
        this.quota = quota;
        this.dispatch = dispatch;
    }

    FleetState onArrival(FleetState state, FleetEvent.RequestArrived event, List<FleetEffect> effects) {
        CallerRequest call = event.request();
        long nowMillis = event.nowMillis();
        if (!(state.stop() instanceof StopStage.Serving || state.stop() instanceof StopStage.Leaving)) {
            return refuse(state, event, Refusal.notRun(RefusalCode.NOT_READY, 0), "stopping", effects);
        }
        if (state.configuration().isEmpty()) {
            Refusal refusal = Refusal.notRun(RefusalCode.NOT_READY, NOT_READY_RETRY_MILLIS);
            return refuse(state, event, refusal, "no configuration yet", effects);
        }
        FleetConfiguration configuration = state.configuration().get();
        Optional<Route> route = configuration.route(call.host(), call.path());
        if (route.isEmpty()) {
            String reason = "no route in configuration version " + configuration.version();
            return refuse(state, event, Refusal.notRun(RefusalCode.ROUTE_UNKNOWN), reason, effects);
        }
        boolean keyed = !route.get().open() && !configuration.workspaces().isEmpty();
        if (keyed && !FeedFlow.withdrawalsUpToDate(state, nowMillis)) {
            Refusal refusal = Refusal.notRun(RefusalCode.HOST_ISOLATED, NOT_READY_RETRY_MILLIS);
            return refuse(state, event, refusal, "configuration not read recently", effects);
        }
        Optional<Workspace> workspace =
                keyed ? call.key().map(key -> configuration.workspaceByKey().get(key)) : Optional.empty();
        if (keyed && workspace.isEmpty()) {
            RefusalCode code = call.key().isEmpty() ? RefusalCode.KEY_MISSING : RefusalCode.KEY_UNKNOWN;
            String reason = "key not in configuration version " + configuration.version();
            return refuse(state, event, Refusal.notRun(code), reason, effects);
        }
        return admit(state, event, route.get(), workspace, effects);
    }

    private FleetState admit(
            FleetState state,
            FleetEvent.RequestArrived event,
            Route route,
            Optional<Workspace> workspace,
            List<FleetEffect> effects) {
        CallerRequest call = event.request();
        String service = pickService(route, call.callerRequestId());
        boolean modelUnknown = call.model().isPresent()
                && state.configuration()
                        .flatMap(known -> known.engine(service))
                        .map(engine -> !engine.models().containsKey(call.model().get()))
                        .orElse(false);
        if (modelUnknown) {
            return refuse(state, event, Refusal.notRun(RefusalCode.MODEL_UNKNOWN), "model not configured", effects);
        }
        FleetRequest request = newRequest(event.requestId(), call, route, workspace, event.nowMillis());
        QuarantineGate.Result gate = QuarantineGate.check(state, call, request.id(), true, event.nowMillis(), effects);
        if (gate.blocked().isPresent()) {
            QuarantineGate.Blocked blocked = gate.blocked().get();
            Refusal refusal = Refusal.notRun(blocked.code(), blocked.retryAfterMillis());
            return refuse(state, event, refusal, blocked.reason(), effects);
        }
        FleetState credited = AttemptFlow.creditRetries(gate.state(), service, event.nowMillis());
        FleetState counted = dispatch.countDemand(credited, request, event.nowMillis());
        if (workspace.isEmpty() || !workspace.get().limited()) {
            return dispatch.dispatch(counted.with(request), request, event.nowMillis(), effects);
        }
        return requestUnits(counted, request, workspace.get(), 0, event.nowMillis(), effects);
    }

    /** Returns a request that has just arrived. */
    static FleetRequest newRequest(
            long id, CallerRequest call, Route route, Optional<Workspace> workspace, long nowMillis) {
        return new FleetRequest(
                id,
                call,
                route,
                pickService(route, call.callerRequestId()),
                workspace.map(Workspace::name),
                workspace.map(owner -> units(owner, call)).orElse(0.0),
                workspace
                        .map(owner -> owner.priority().orElse(route.priority()))
                        .orElse(route.priority()),
                nowMillis,
                nowMillis + Math.min(call.deadlineMillis(), route.timeoutMillis()),
                0,
                false,
                0,
                HashTreePSet.empty(),
                false,
                false,
                new RequestPhase.AwaitingQuota(0, nowMillis));
    }

    /** Acquires the quota units of a request from this entry, or asks the entry of the given round for them. */
    private FleetState requestUnits(
            FleetState state,
            FleetRequest request,
            Workspace workspace,
            int round,
            long nowMillis,
            List<FleetEffect> effects) {
        QuotaFlow.Decision decision = quota.acquire(state, workspace, request.units(), round, nowMillis);
        FleetState next = decision.state().with(request);
        return switch (decision.verdict()) {
            case QuotaFlow.Verdict.Granted granted -> dispatch.dispatch(next, request, nowMillis, effects);
            case QuotaFlow.Verdict.Denied denied ->
                waitOrRefuse(next, request, denied.retryAfterMillis(), nowMillis, effects);
            case QuotaFlow.Verdict.OwnedByPeer owned -> {
                FleetMessage question = new FleetMessage.QuotaQuestion(
                        state.self().id(), request.id(), round, workspace.name(), request.units());
                effects.add(
                        new FleetEffect.SendPeerMessage(owned.peer().member().peerAddress(), question));
                yield next.with(request.withPhase(new RequestPhase.AwaitingQuota(round, nowMillis)));
            }
        };
    }

    FleetState onQuotaAnswer(
            FleetState state, long nowMillis, FleetMessage.QuotaAnswer answer, List<FleetEffect> effects) {
        FleetRequest request = state.requests().get(answer.requestId());
        boolean awaited = request != null
                && request.phase() instanceof RequestPhase.AwaitingQuota awaiting
                && awaiting.round() == answer.round();
        if (!awaited) {
            return state;
        }
        return answer.granted()
                ? dispatch.dispatch(state, request, nowMillis, effects)
                : waitOrRefuse(state, request, answer.retryAfterMillis(), nowMillis, effects);
    }

    /** Asks the next entry if one has not answered, and requests units again once they should have accrued. */
    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetRequest request : state.requests().values()) {
            if (request.phase() instanceof RequestPhase.AwaitingQuota awaiting
                    && nowMillis - awaiting.askedAtMillis() >= FleetTimings.QUOTA_ANSWER_TIMEOUT) {
                next = requestUnitsAgain(next, request, awaiting.round() + 1, nowMillis, effects);
            }
            if (request.phase() instanceof RequestPhase.AwaitingUnits awaiting
                    && nowMillis >= awaiting.retryAtMillis()) {
                next = requestUnitsAgain(next, request, 0, nowMillis, effects);
            }
        }
        return next;
    }

    private FleetState requestUnitsAgain(
            FleetState state, FleetRequest request, int round, long nowMillis, List<FleetEffect> effects) {
        Optional<Workspace> workspace =
                request.workspace().flatMap(name -> state.configuration().flatMap(known -> known.workspace(name)));
        if (workspace.isEmpty() || round >= FleetTimings.MAX_QUOTA_ROUNDS) {
            Refusal refusal = Refusal.notRun(RefusalCode.NO_CAPACITY, NOT_READY_RETRY_MILLIS);
            return dispatch.refuse(
                    state, request, refusal, "no entry answered for the quota of the workspace", effects);
        }
        return requestUnits(state, request, workspace.get(), round, nowMillis, effects);
    }

    /** Refuses a request over the rate, unless its units accrue soon enough for it to meet its objective. */
    private FleetState waitOrRefuse(
            FleetState state, FleetRequest request, long retryAfterMillis, long nowMillis, List<FleetEffect> effects) {
        long retryAt = nowMillis + retryAfterMillis;
        long latest = request.arrivedAtMillis() + request.route().objectiveMillis() / QUOTA_WAIT_DIVISOR;
        if (retryAt <= latest) {
            if (isFirstDenial(request)) {
                String reason = "workspace over its rate for " + retryAfterMillis + " ms";
                effects.add(FleetEffect.Note.of("request_waiting", request, "reason", reason));
            }
            return state.with(request.withPhase(new RequestPhase.AwaitingUnits(retryAt)));
        }
        long retryAfter = Math.min(MAX_RETRY_MILLIS, retryAfterMillis);
        Refusal refusal = Refusal.notRun(RefusalCode.OVER_RATE, retryAfter);
        String reason = "workspace over its rate, units " + Math.round(request.units());
        return dispatch.refuse(state, request, refusal, reason, effects);
    }

    /** Returns whether the request has asked for units only once, which it does when it arrives. */
    private static boolean isFirstDenial(FleetRequest request) {
        return request.phase() instanceof RequestPhase.AwaitingQuota awaiting
                && awaiting.askedAtMillis() == request.arrivedAtMillis();
    }

    private static FleetState refuse(
            FleetState state,
            FleetEvent.RequestArrived event,
            Refusal refusal,
            String reason,
            List<FleetEffect> effects) {
        CallerRequest call = event.request();
        Optional<Route> route = state.configuration().flatMap(known -> known.route(call.host(), call.path()));
        effects.add(new FleetEffect.RefuseRequest(
                event.requestId(),
                call.callerRequestId(),
                refusal,
                reason,
                RequestTraits.of(call, route, Optional.empty())));
        return state;
    }

    private static double units(Workspace workspace, CallerRequest call) {
        if (!workspace.countsTokens()) {
            return 1;
        }
        return call.countsTokens() ? call.inputTokens() + call.maximumOutputTokens() : workspace.plainTokens();
    }

    /** Picks a service by weight; the same request id always yields the same service. */
    private static String pickService(Route route, String callerRequestId) {
        double total =
                route.services().stream().mapToDouble(WeightedService::weight).sum();
        double remaining = (callerRequestId.hashCode() * 0x9E3779B97F4A7C15L >>> 11) / (double) (1L << 53) * total;
        for (WeightedService service : route.services()) {
            remaining -= service.weight();
            if (remaining < 0) {
                return service.service();
            }
        }
        return route.services().getLast().service();
    }
}
