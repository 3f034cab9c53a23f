package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.ModelDefinition;
import org.jackdawbeam.model.fleet.ServiceDefinition;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.log.OrderAction;

/** Orders engines to load and drop models, while this entry holds the placement duty, and follows what they answer. */
final class PlacementFlow {
    private static final long PLAN_INTERVAL_MILLIS = 100;
    private static final double FIRST_REPORT_SHARE = 0.95; // of the shortest time that a load may take
    private static final long REPORT_INTERVAL_MILLIS = 200; // reports are that old

    private final AdapterFlow adapters;
    private final ReplicaFlow replicas;

    PlacementFlow(AdapterFlow adapters, ReplicaFlow replicas) {
        this.adapters = adapters;
        this.replicas = replicas;
    }

    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        if (!LeadershipFlow.holds(state, nowMillis) || state.configuration().isEmpty()) {
            return state;
        }
        boolean planDue = nowMillis - state.placement().plannedAtMillis() >= PLAN_INTERVAL_MILLIS;
        FleetState next = adapters.recordUse(state, nowMillis, PeerFlow.work(state));
        for (ServiceDefinition service : state.configuration().get().services().values()) {
            if (service.engine().isPresent()) {
                next = requestReports(next, service.name(), nowMillis, effects);
                next = adapters.broadcastLoadedAdapters(next, service.name(), nowMillis, effects);
                next = adapters.loadAdapters(
                        next, service.name(), service.engine().get(), nowMillis, effects);
                next = planDue
                        ? replicas.plan(next, service.name(), service.engine().get(), nowMillis, effects)
                        : next;
            }
        }
        return next;
    }

    FleetState onReport(FleetState state, FleetEvent.ReportRead event, List<FleetEffect> effects) {
        FleetTarget target = state.targets().get(event.target());
        if (target == null) {
            return state;
        }
        EngineState duty = Engines.stateOf(state, target);
        boolean usable = event.report()
                .map(report -> report.startedAtMillis() == target.description().startedAtMillis()
                        && report.orderCount() >= duty.minimumOrderCount())
                .orElse(false);
        if (!usable) {
            EngineState again = duty.withNextReportAt(event.nowMillis() + REPORT_INTERVAL_MILLIS);
            return state.with(state.placement().with(event.target(), again));
        }
        TargetReport report = event.report().get();
        boolean settled = !report.busy() && event.nowMillis() - duty.changedAtMillis() > REPORT_INTERVAL_MILLIS;
        Optional<String> changing = settled
                ? Optional.empty()
                : duty.changingModel()
                        .or(() -> report.busy() ? Optional.of(EngineState.UNKNOWN_MODEL) : Optional.empty());
        long reportAt = changing.isPresent() ? event.nowMillis() + REPORT_INTERVAL_MILLIS : Long.MAX_VALUE;
        EngineState known = duty.withReport(report, changing, reportAt);
        EngineState corrected = known.withAdapters(AdapterFlow.reportedAdapters(report, duty, event.nowMillis()));
        Set<String> unloading = settled ? Set.of() : target.unloading();
        FleetTarget described = target.withResidency(
                report.models(),
                AdapterFlow.usableAdapters(corrected, event.nowMillis()),
                unloading,
                event.nowMillis());
        effects.add(FleetEffect.Note.of(
                "engine_reported",
                "target",
                event.target(),
                "order_count",
                report.orderCount(),
                "known_count",
                duty.orderCount().orElse(-1),
                "busy",
                report.busy(),
                "models",
                String.join("+", report.models()),
                "adapters",
                report.adapters()));
        if (!described.hasSameResidency(target)) {
            Engines.broadcast(state, described, effects);
        }
        return state.with(state.placement().with(event.target(), corrected)).with(described);
    }

    FleetState onAnswered(FleetState state, FleetEvent.OrderAnswered event, List<FleetEffect> effects) {
        EngineOrder order = event.order();
        FleetTarget target = state.targets().get(order.target());
        effects.add(FleetEffect.Note.of(
                "order_answered",
                "target",
                order.target(),
                "action",
                order.action(),
                "model",
                order.model(),
                "adapter",
                order.adapter().orElse(""),
                "expected_count",
                order.expectedCount(),
                "response",
                event.response()));
        if (target == null) {
            return state;
        }
        EngineState duty = Engines.stateOf(state, target);
        if (!duty.pendingOrder().equals(Optional.of(order))) {
            return state;
        }
        long nowMillis = event.nowMillis();
        return switch (event.response()) {
            case ACCEPTED -> onAccepted(state, target, duty, order, nowMillis, effects);
            case HOLDS -> onAlreadyApplied(state, target, duty, order, nowMillis, effects);
            case CONFLICT, REJECTED, UNKNOWN -> {
                // A model that was to go counts as going until a report says that it stays; then all are told.
                EngineState unsure = duty.withAnswer(OptionalLong.empty(), nowMillis + REPORT_INTERVAL_MILLIS);
                yield state.with(state.placement().with(order.target(), unsure));
            }
            case FENCED ->
                LeadershipFlow.resign(
                        state.with(state.placement()
                                .with(order.target(), duty.withAnswer(OptionalLong.empty(), nowMillis))),
                        effects);
        };
    }

    private FleetState onAccepted(
            FleetState state,
            FleetTarget target,
            EngineState duty,
            EngineOrder order,
            long nowMillis,
            List<FleetEffect> effects) {
        EngineState counted = duty.withAnswer(OptionalLong.of(order.expectedCount() + 1), duty.nextReportAtMillis());
        if (order.adapter().isEmpty()) {
            EngineState changing =
                    counted.withModelChange(order, nowMillis, nowMillis + firstReportMillis(state, target, order));
            return state.with(state.placement().with(order.target(), changing));
        }
        // An engine that does not answer that it is done still has requests of the adapter; a report tells the end.
        EngineState next = order.action() == OrderAction.UNLOAD_ADAPTER
                ? duty.withAnswer(OptionalLong.empty(), nowMillis + REPORT_INTERVAL_MILLIS)
                : counted;
        return adapters.applyAcceptedOrder(state, target, next, order, nowMillis, effects);
    }

    /** Returns how long after an order the first report is worth its price. */
    private static long firstReportMillis(FleetState state, FleetTarget target, EngineOrder order) {
        Optional<ModelDefinition> model = state.configuration()
                .flatMap(known -> known.engine(target.description().service()))
                .map(engine -> engine.models().get(order.model()));
        if (order.action() != OrderAction.LOAD_MODEL || model.isEmpty()) {
            return REPORT_INTERVAL_MILLIS;
        }
        boolean atHand = target.description().atHand().contains(order.model());
        long shortest = atHand ? model.get().memoryMillis() : model.get().loadMillis();
        return Math.max(REPORT_INTERVAL_MILLIS, Math.round(shortest * FIRST_REPORT_SHARE));
    }

    private FleetState onAlreadyApplied(
            FleetState state,
            FleetTarget target,
            EngineState duty,
            EngineOrder order,
            long nowMillis,
            List<FleetEffect> effects) {
        boolean counts = order.action() == OrderAction.UNLOAD_ADAPTER;
        OptionalLong count = OptionalLong.of(order.expectedCount() + (counts ? 1 : 0));
        if (order.adapter().isPresent()) {
            return adapters.applyAcceptedOrder(
                    state, target, duty.withAnswer(count, duty.nextReportAtMillis()), order, nowMillis, effects);
        }
        return state.with(state.placement().with(order.target(), duty.withAnswer(count, nowMillis)));
    }

    private static FleetState requestReports(
            FleetState state, String service, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetTarget target : Engines.all(state, service)) {
            EngineState duty = Engines.stateOf(next, target);
            boolean due = duty.orderCount().isEmpty() || duty.changingModel().isPresent();
            if (due && !duty.reportPending() && nowMillis >= duty.nextReportAtMillis()) {
                String id = target.description().id();
                effects.add(new FleetEffect.ReadReport(id, target.description().address()));
                next = next.with(next.placement().with(id, duty.withReportRequested()));
            }
        }
        return next;
    }
}
