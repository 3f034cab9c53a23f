package org.jackdawbeam.logic.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.logic.configuration.LoggedState;
import org.jackdawbeam.logic.placement.PlacementPlanner;
import org.jackdawbeam.logic.placement.PlannedOrder;
import org.jackdawbeam.logic.request.Work;
import org.jackdawbeam.logic.target.TargetState;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.log.LogRecord.LoggedOrder;
import org.jackdawbeam.model.log.LogRecord.OrderIntended;
import org.jackdawbeam.model.log.LogRecord.OrderResolved;
import org.jackdawbeam.model.log.OrderAction;
import org.jackdawbeam.model.log.OrderItem;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.target.EngineLoad;

/**
 * Sends placement orders to engines while this entry holds the placement duty. An order is sent only after its record
 * has been read back as the latest one for its engine. Its memory stays reserved until its outcome is known. See
 * decision 0005.
 */
final class OrderFlow {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long REPORT_LAG_MILLIS = 2_000;

    private final EntryOptions options;
    private final AppendFlow appends;

    OrderFlow(EntryOptions options, AppendFlow appends) {
        this.options = options;
        this.appends = appends;
    }

    Transition tick(EntryState state, long nowMillis) {
        long elapsed = nowMillis - state.placement().plannedAtMillis();
        Optional<Bundle> bundle = state.log().folded().bundle();
        if (elapsed < options.timings().placementMillis() || bundle.isEmpty()) {
            return Transition.to(state);
        }
        EntryState counted = accrueLoadTokens(state, bundle.get(), elapsed, nowMillis);
        boolean mayDecide = state.log().caughtUp()
                && !state.log().isSilent(nowMillis, options.timings().leaseMillis())
                && state.membership().holdsPlacementDuty(nowMillis, options.timings())
                && state.isServing();
        if (!mayDecide) {
            return Transition.to(counted);
        }
        return resolveOpenOrders(counted, nowMillis).then(next -> plan(next, bundle.get(), nowMillis));
    }

    /** Sends an order of this run once its record has been read back as the latest one for its engine. */
    Transition onOrderLogged(EntryState state, long nowMillis, OrderIntended order, long offset) {
        LoggedOrder latest = state.log().folded().orders().get(order.target());
        boolean accepted = latest != null && latest.offset() == offset;
        boolean own = order.issuer().sameRun(state.membership().self());
        TargetState target = state.targets().get(order.target());
        if (!accepted || target == null) {
            return Transition.to(state);
        }
        boolean send = own && state.membership().holdsLease(nowMillis, options.timings());
        PlacementState.SentOrder sent = new PlacementState.SentOrder(order.sequence(), nowMillis, !send);
        EntryState next = state.withPlacement(state.placement().withSentOrder(order.target(), sent));
        Transition transition = Transition.to(next);
        return send
                ? transition.with(new Effect.SendOrder(
                        target.specification(),
                        order,
                        offset,
                        state.membership().leaseEndMillis(options.timings())))
                : transition;
    }

    /** After a fencing order, load reports are used only if they are certainly newer than the order. */
    Transition onOrderResolved(EntryState state, long nowMillis, OrderResolved resolved) {
        PlacementState placement = state.placement().withoutSentOrder(resolved.target());
        LoggedOrder order = state.log().folded().orders().get(resolved.target());
        boolean fenced = order != null && order.order().items().isEmpty();
        return Transition.to(state.withPlacement(
                fenced ? placement.withReportsValidFrom(resolved.target(), nowMillis + REPORT_LAG_MILLIS) : placement));
    }

    Transition onAnswered(EntryState state, Event.OrderAnswered event) {
        PlacementState.SentOrder sent = state.placement().sentOrders().get(event.target());
        if (sent == null || sent.sequence() != event.sequence()) {
            return Transition.to(state);
        }
        if (event.outcome() == OrderOutcome.UNKNOWN) {
            PlacementState.SentOrder unknown =
                    new PlacementState.SentOrder(sent.sequence(), sent.firstSeenMillis(), true);
            return Transition.to(state.withPlacement(state.placement().withSentOrder(event.target(), unknown)));
        }
        boolean done = event.outcome() == OrderOutcome.DONE;
        return resolve(state, event.nowMillis(), event.target(), event.sequence(), done, event.engineRun(), false);
    }

    /** Returns the demand of the whole fleet by model, in charged tokens per second. */
    static Map<String, Double> fleetDemand(EntryState state, long nowMillis) {
        Map<String, Double> demand = new HashMap<>(state.placement().demand().at(nowMillis));
        for (Member member : state.membership().others()) {
            state.membership()
                    .peer(member)
                    .ifPresent(peer ->
                            peer.report().demand().forEach((model, rate) -> demand.merge(model, rate, Double::sum)));
        }
        return demand;
    }

    private static EntryState accrueLoadTokens(EntryState state, Bundle bundle, long elapsed, long nowMillis) {
        double accrued = state.placement().loadTokens() + bundle.store().loadsPerSecond() * elapsed / MILLIS_PER_SECOND;
        double bounded = Math.min(accrued, bundle.store().concurrentLoads());
        return state.withPlacement(state.placement().planned(nowMillis, bounded));
    }

    private Transition plan(EntryState state, Bundle bundle, long nowMillis) {
        PlacementPlanner planner = new PlacementPlanner(
                options.placement(),
                bundle,
                state.log().folded(),
                state.targets(),
                state.placement().reportsValidFrom(),
                fleetDemand(state, nowMillis),
                waitingModels(state, bundle),
                (int) state.placement().loadTokens(),
                nowMillis);
        Transition next = Transition.to(state);
        for (PlannedOrder planned : planner.plan()) {
            next = next.then(current -> appendOrder(current, nowMillis, planned.target(), planned.items()));
        }
        return next;
    }

    private static Set<String> waitingModels(EntryState state, Bundle bundle) {
        Set<String> waiting = new HashSet<>();
        bundle.models().stream()
                .filter(model -> state.requests()
                                .pool(Work.modelPool(model.name()))
                                .queue()
                                .size()
                        > 0)
                .forEach(model -> waiting.add(model.name()));
        return waiting;
    }

    private Transition appendOrder(EntryState state, long nowMillis, String target, List<OrderItem> items) {
        if (isAppending(state, target)) {
            return Transition.to(state);
        }
        LoggedState logged = state.log().folded();
        LoggedOrder last = logged.orders().get(target);
        long sequence = last == null ? 1 : last.order().sequence() + 1;
        long modelLoads = items.stream()
                .filter(item -> item.action() == OrderAction.LOAD_MODEL)
                .count();
        PlacementState placement = state.placement();
        EntryState paid = state.withPlacement(
                placement.planned(placement.plannedAtMillis(), placement.loadTokens() - modelLoads));
        Member self = state.membership().self();
        long life = options.timings().orderLifeMillis();
        return appends.append(paid, nowMillis, id -> new OrderIntended(id, target, sequence, items, self, life));
    }

    private static boolean isAppending(EntryState state, String target) {
        return state.log()
                .isAppending(record ->
                        record instanceof OrderIntended order && order.target().equals(target));
    }

    /** Resolves orders with an unknown outcome: unanswered ones of this run and those of earlier duty holders. */
    private Transition resolveOpenOrders(EntryState state, long nowMillis) {
        Transition next = Transition.to(state);
        for (LoggedOrder order : state.log().folded().orders().values()) {
            if (!order.resolved()) {
                next = next.then(current -> resolveOpenOrder(current, order, nowMillis));
            }
        }
        return next;
    }

    private Transition resolveOpenOrder(EntryState state, LoggedOrder order, long nowMillis) {
        String targetName = order.order().target();
        TargetState target = state.targets().get(targetName);
        PlacementState.SentOrder sent = state.placement().sentOrders().get(targetName);
        if (target == null) {
            return Transition.to(state);
        }
        if (sent == null || sent.sequence() != order.order().sequence()) {
            PlacementState.SentOrder found =
                    new PlacementState.SentOrder(order.order().sequence(), nowMillis, true);
            return Transition.to(state.withPlacement(state.placement().withSentOrder(targetName, found)));
        }
        if (!sent.outcomeUnknown()) {
            return Transition.to(state);
        }
        return target.specification().checksFencing()
                ? fenceOff(state, target, nowMillis)
                : resolveByReport(state, order, target, sent, nowMillis);
    }

    /** Appends an empty order. An engine that checks fencing tokens refuses the previous order once it has seen it. */
    private Transition fenceOff(EntryState state, TargetState target, long nowMillis) {
        if (target.load().isEmpty()) {
            return Transition.to(state);
        }
        return appendOrder(state, nowMillis, target.name(), List.of());
    }

    /**
     * Derives the outcome of an order from a load report for engines that do not check fencing tokens. Nothing else is
     * ordered until the order can no longer be executed and a later report has arrived.
     */
    private Transition resolveByReport(
            EntryState state, LoggedOrder order, TargetState target, PlacementState.SentOrder sent, long nowMillis) {
        long expiresAt = sent.firstSeenMillis()
                + order.order().maximumLifeMillis()
                + options.timings().leaseMillis()
                + REPORT_LAG_MILLIS;
        boolean reportedSince = target.load().isPresent() && target.loadRequestedAtMillis() > expiresAt;
        if (!reportedSince) {
            return Transition.to(state);
        }
        EngineLoad load = target.load().get();
        boolean done = order.order().items().stream().allMatch(item -> hasTakenEffect(item, load));
        return resolve(state, nowMillis, target.name(), order.order().sequence(), done, load.engineRun(), true);
    }

    private static boolean hasTakenEffect(OrderItem item, EngineLoad load) {
        boolean resident =
                load.models().contains(item.name()) || load.adapters().contains(item.name());
        return resident == item.loads();
    }

    private Transition resolve(
            EntryState state,
            long nowMillis,
            String target,
            long sequence,
            boolean done,
            String engineRun,
            boolean fromReport) {
        boolean pending = state.log()
                .isAppending(record -> record instanceof OrderResolved resolved
                        && resolved.target().equals(target)
                        && resolved.sequence() == sequence);
        if (pending) {
            return Transition.to(state);
        }
        return appends.append(
                state, nowMillis, id -> new OrderResolved(id, target, sequence, done, engineRun, fromReport));
    }
}
