package org.jackdawbeam.logic.entry;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jackdawbeam.logic.configuration.KeyChecker;
import org.jackdawbeam.logic.queue.FairQueue;
import org.jackdawbeam.logic.request.Phase;
import org.jackdawbeam.logic.request.Pool;
import org.jackdawbeam.logic.request.Request;
import org.jackdawbeam.logic.request.Work;
import org.jackdawbeam.logic.routing.Router;
import org.jackdawbeam.logic.routing.RoutingInput;
import org.jackdawbeam.logic.routing.RoutingPolicy;
import org.jackdawbeam.logic.routing.TargetChoice;
import org.jackdawbeam.logic.target.OutstandingAttempt;
import org.jackdawbeam.logic.target.TargetState;
import org.jackdawbeam.model.bundle.TargetKind;
import org.jackdawbeam.model.bundle.WorkspaceSpecification;
import org.jackdawbeam.model.log.LogRecord.LoggedOrder;
import org.jackdawbeam.model.log.LogRecord.LoggedResidency;
import org.jackdawbeam.model.log.OrderItem;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptId;

/** Dispatches queued requests to targets in the order of the fair queue. */
final class DispatchFlow {
    private static final double MAX_FIRST_TOKEN_ESTIMATE_MILLIS = 800;
    private static final double EQUAL_WEIGHT = 1;
    private static final RoutingPolicy SERVICE_ROUTING = new RoutingPolicy.LeastOutstanding();

    private final EntryOptions options;
    private final RequestFinisher finisher;

    DispatchFlow(EntryOptions options, RequestFinisher finisher) {
        this.options = options;
        this.finisher = finisher;
    }

    /** Enqueues a request, or refuses it at once if it is unlikely to be dispatched before its deadline. */
    Transition enqueue(EntryState state, Request request, long nowMillis) {
        Work work = request.work();
        Pool pool = state.requests().pool(work.pool());
        if (pool.queue().size() >= options.timings().maximumQueued()) {
            long retryAfter = Math.max(1, (long) pool.waitMillis(pool.queue().size()));
            return finisher.refuse(state, request, notStarted(request, RefusalCode.QUEUE_FULL, retryAfter), nowMillis);
        }
        FairQueue queue = add(state, pool.queue(), request);
        double waitMillis = pool.waitMillis(queue.requestsBefore(request.id()));
        long deadlineMillis = waitDeadlineMillis(work);
        if (waitMillis > deadlineMillis) {
            long retryAfter = (long) Math.ceil(waitMillis - deadlineMillis);
            return finisher.refuse(state, request, notStarted(request, RefusalCode.NO_CAPACITY, retryAfter), nowMillis);
        }
        EntryState queued = state.withRequests(state.requests()
                .with(request.withPhase(new Phase.Queued()))
                .withPool(work.pool(), pool.withQueue(queue)));
        return drain(queued, work.pool(), nowMillis)
                .then(next -> scheduleWait(next, request, deadlineMillis, nowMillis));
    }

    /** Dispatches queued requests of all pools. */
    Transition drainAll(EntryState state, long nowMillis) {
        Transition next = Transition.to(state);
        for (var pool : state.requests().pools().entrySet()) {
            if (pool.getValue().queue().size() > 0) {
                next = next.then(current -> drain(current, pool.getKey(), nowMillis));
            }
        }
        return next;
    }

    Transition onWaitTimeout(EntryState state, Event.WaitTimedOut event) {
        Optional<Request> found = state.requests().find(event.requestId());
        if (found.isEmpty()) {
            return Transition.to(state);
        }
        Request request = found.get();
        return switch (request.phase()) {
            case Phase.Queued queued ->
                finisher.refuse(
                        state,
                        request,
                        notStarted(request, RefusalCode.DEADLINE_EXCEEDED, waitDeadlineMillis(request.work())),
                        event.nowMillis());
            case Phase.AwaitingAnswer awaiting ->
                finisher.refuse(state, request, Refusal.unknown(RefusalCode.OUTCOME_UNKNOWN), event.nowMillis());
            default -> Transition.to(state);
        };
    }

    private Transition scheduleWait(EntryState state, Request request, long deadlineMillis, long nowMillis) {
        boolean waits = state.requests()
                .find(request.id())
                .map(found -> found.phase() instanceof Phase.Queued)
                .orElse(false);
        Transition next = Transition.to(state);
        return waits
                ? next.with(new Effect.Schedule(deadlineMillis, new Event.WaitTimedOut(nowMillis, request.id())))
                : next;
    }

    private long waitDeadlineMillis(Work work) {
        return switch (work) {
            case Work.Completion completion -> options.timings().firstTokenMillis();
            case Work.Service service -> options.timings().serviceCallMillis();
        };
    }

    private FairQueue add(EntryState state, FairQueue queue, Request request) {
        boolean retried = request.attempts() > 0;
        double cost = retried ? 0 : request.work().cost();
        String workspace = request.workspace().orElse("");
        return switch (options.queueing()) {
            case FAIR_BY_RATE -> queue.add(request.id(), workspace, cost, weight(state, workspace));
            case EQUAL_SPLIT -> queue.add(request.id(), workspace, cost, EQUAL_WEIGHT);
            case FIRST_COME -> queue.add(request.id(), "", 0, EQUAL_WEIGHT);
        };
    }

    private static double weight(EntryState state, String workspace) {
        return BorrowFlow.workspace(state, workspace)
                .map(WorkspaceSpecification::tokensPerSecond)
                .orElse(EQUAL_WEIGHT);
    }

    private Transition drain(EntryState state, String poolName, long nowMillis) {
        Transition next = Transition.to(state);
        while (true) {
            Optional<Long> first =
                    next.state().requests().pool(poolName).queue().first();
            if (first.isEmpty()) {
                return next;
            }
            Request request = next.state().requests().find(first.get()).orElseThrow();
            Optional<RefusalCode> refusalCode = refusalCode(next.state(), request);
            if (refusalCode.isPresent()) {
                Refusal refusal = notStarted(request, refusalCode.get(), 0);
                next = next.then(current -> finisher.refuse(current, request, refusal, nowMillis));
                continue;
            }
            Optional<TargetChoice> choice = choose(next.state(), request, nowMillis);
            if (choice.isEmpty()) {
                return next;
            }
            next = next.then(current -> dispatch(current, request, choice.get(), nowMillis));
        }
    }

    /** Returns the code with which an admitted request must be refused instead of dispatched, if any. */
    private static Optional<RefusalCode> refusalCode(EntryState state, Request request) {
        if (isWithdrawn(state, request)) {
            return Optional.of(RefusalCode.KEY_WITHDRAWN);
        }
        return request.callerLeft() ? Optional.of(RefusalCode.CALLER_LEFT) : Optional.empty();
    }

    private static boolean isWithdrawn(EntryState state, Request request) {
        return request.keyId()
                .map(keyId -> KeyChecker.isWithdrawn(state.log().folded(), state.withdrawnNotLogged(), keyId))
                .orElse(false);
    }

    private Optional<TargetChoice> choose(EntryState state, Request request, long nowMillis) {
        if (!state.hostList().isUsable(nowMillis)) {
            return Optional.empty();
        }
        int members = state.membership().entryCount();
        List<TargetState> eligible = state.targets().values().stream()
                .filter(target -> target.accepts(nowMillis) && target.hasRoom(members))
                .filter(target -> canAnswer(state, target, request.work()))
                .toList();
        List<TargetState> untried = eligible.stream()
                .filter(target -> !request.failedTargets().contains(target.name()))
                .toList();
        List<TargetState> candidates = untried.isEmpty() ? eligible : untried;
        RoutingPolicy policy = request.work() instanceof Work.Completion ? options.routing() : SERVICE_ROUTING;
        RoutingInput routed = request.work().routingInput(request.id());
        String zone = state.membership().self().zone();
        return Router.choose(policy, candidates, routed, zone, nowMillis).filter(DispatchFlow::isWorthSending);
    }

    /**
     * Returns whether the target is idle or expected to answer soon. Otherwise the request stays in the queue, where
     * its order is fair.
     */
    private static boolean isWorthSending(TargetChoice choice) {
        return choice.estimate().millis() < MAX_FIRST_TOKEN_ESTIMATE_MILLIS
                || choice.target().outstanding().isEmpty();
    }

    private static boolean canAnswer(EntryState state, TargetState target, Work work) {
        return switch (work) {
            case Work.Completion completion ->
                target.specification().kind() == TargetKind.ENGINE
                        && target.holdsModel(completion.model())
                        && completion.adapter().map(target::holdsAdapter).orElse(true)
                        && !isBeingUnloaded(state, target, completion)
                        && !wasUnloaded(state, target, completion);
            case Work.Service service ->
                target.specification()
                        .service()
                        .map(name -> name.equals(service.route().service()))
                        .orElse(false);
        };
    }

    private static boolean isBeingUnloaded(EntryState state, TargetState target, Work.Completion completion) {
        LoggedOrder order = state.log().folded().orders().get(target.name());
        if (order == null || order.resolved()) {
            return false;
        }
        return order.order().items().stream().anyMatch(item -> unloads(item, completion));
    }

    /**
     * Returns whether a resolved order has unloaded the model or adapter from this engine process. A load report may
     * still list it.
     */
    private static boolean wasUnloaded(EntryState state, TargetState target, Work.Completion completion) {
        LoggedResidency residency = state.log().folded().residencies().get(target.name());
        if (residency == null || !target.runsAs(residency.engineRun())) {
            return false;
        }
        boolean adapterGone =
                completion.adapter().map(residency.unloaded()::contains).orElse(false);
        return adapterGone || residency.unloaded().contains(completion.model());
    }

    private static boolean unloads(OrderItem item, Work.Completion completion) {
        boolean sameName = item.name().equals(completion.model())
                || completion.adapter().map(item.name()::equals).orElse(false);
        return !item.loads() && sameName;
    }

    private Transition dispatch(EntryState state, Request request, TargetChoice choice, long nowMillis) {
        Request sent = request.dispatchedTo(choice.target().name());
        AttemptId attempt = ((Phase.Running) sent.phase()).attempt();
        OutstandingAttempt work = new OutstandingAttempt(
                nowMillis, choice.estimate().prefillTokens(), choice.estimate().millis(), false);
        TargetState target = choice.target()
                .dispatched(
                        attempt, work, request.work().routingInput(request.id()).prefixHashes());
        String poolName = request.work().pool();
        Pool pool = state.requests().pool(poolName).departed(request.id(), nowMillis);
        EntryState next = state.withRequests(state.requests().with(sent).withPool(poolName, pool))
                .withTarget(target);
        return Transition.to(next)
                .with(new Effect.StartAttempt(
                        attempt, target.specification(), request.work(), request.workspace(), request.relayedTokens()));
    }

    private static Refusal notStarted(Request request, RefusalCode code, long retryAfterMillis) {
        ExecutionStatus ran = request.written() ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO;
        return new Refusal(code, ran, OptionalLong.of(retryAfterMillis));
    }
}
