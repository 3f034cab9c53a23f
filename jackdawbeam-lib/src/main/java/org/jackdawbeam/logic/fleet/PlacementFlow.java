package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.ModelDefinition;
import org.jackdawbeam.model.fleet.OrderResponse;
import org.jackdawbeam.model.fleet.ServiceDefinition;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.log.OrderAction;

/** Orders engines to load and unload models while this entry is the placement leader, and handles their answers. */
final class PlacementFlow {
    private static final long PLAN_INTERVAL_MILLIS = 100;
    private static final double FIRST_REPORT_SHARE = 0.95; // of the shortest load time
    private static final long REPORT_INTERVAL_MILLIS = 200; // age of the data in a report

    private final AdapterFlow adapters;
    private final ReplicaFlow replicas;
    private final RetiredModelFlow retiredModels;

    PlacementFlow(AdapterFlow adapters, ReplicaFlow replicas, RetiredModelFlow retiredModels) {
        this.adapters = adapters;
        this.replicas = replicas;
        this.retiredModels = retiredModels;
    }

    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        if (!LeadershipFlow.isLeader(state, nowMillis) || state.configuration().isEmpty()) {
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
                next = planDue ? plan(next, service.name(), service.engine().get(), nowMillis, effects) : next;
            }
        }
        return next;
    }

    private FleetState plan(
            FleetState state, String service, EngineDefinition engine, long nowMillis, List<FleetEffect> effects) {
        FleetState next = retiredModels.tick(state, service, engine, nowMillis, effects);
        return replicas.plan(next, service, engine, nowMillis, effects);
    }

    FleetState onReport(FleetState state, FleetEvent.ReportRead event, List<FleetEffect> effects) {
        FleetTarget target = state.targets().get(event.target());
        if (target == null || state.leadership().fencingToken().isEmpty()) {
            return state;
        }
        EngineState engineState = Engines.stateOf(state, target);
        boolean usable = event.report()
                .map(report -> report.startedAtMillis() == target.description().startedAtMillis()
                        && report.orderCount() >= engineState.minimumOrderCount())
                .orElse(false);
        if (!usable) {
            EngineState again = engineState.withNextReportAt(event.nowMillis() + REPORT_INTERVAL_MILLIS);
            return state.with(state.placement().with(event.target(), again));
        }
        TargetReport report = event.report().get();
        boolean settled = !report.busy() && event.nowMillis() - engineState.changedAtMillis() > REPORT_INTERVAL_MILLIS;
        Optional<String> changing = settled
                ? Optional.empty()
                : engineState
                        .changingModel()
                        .or(() -> report.busy() ? Optional.of(EngineState.UNKNOWN_MODEL) : Optional.empty());
        long reportAt = changing.isPresent() ? event.nowMillis() + REPORT_INTERVAL_MILLIS : Long.MAX_VALUE;
        EngineState known = engineState.withReport(report, changing, reportAt);
        EngineState corrected =
                known.withAdapters(AdapterFlow.reportedAdapters(report, engineState, event.nowMillis()));
        Set<String> unloading = settled ? Set.of() : target.unloading();
        FleetTarget updated = target.withResidency(
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
                engineState.orderCount().orElse(-1),
                "started_at",
                report.startedAtMillis(),
                "busy",
                report.busy(),
                "models",
                String.join("+", report.models()),
                "unloading",
                String.join("+", unloading),
                "adapters",
                report.adapters()));
        if (!updated.hasSameResidency(target)) {
            Engines.broadcast(state, updated, effects);
        }
        return state.with(state.placement().with(event.target(), corrected)).with(updated);
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
        FleetState known = event.response() == OrderResponse.UNKNOWN
                ? state
                : state.with(state.placement().withoutSent(order));
        return target == null ? known : onAnswered(known, event, target, effects);
    }

    private FleetState onAnswered(
            FleetState state, FleetEvent.OrderAnswered event, FleetTarget target, List<FleetEffect> effects) {
        EngineOrder order = event.order();
        EngineState engineState = Engines.stateOf(state, target);
        if (!engineState.pendingOrder().equals(Optional.of(order))) {
            return state;
        }
        long nowMillis = event.nowMillis();
        return switch (event.response()) {
            case ACCEPTED -> onAccepted(state, target, engineState, order, nowMillis, effects);
            case HOLDS -> onAlreadyApplied(state, target, engineState, order, nowMillis, effects);
            case CONFLICT, REJECTED, UNKNOWN -> {
                // The model stays marked as unloading until a report shows that it is still held, which is then
                // broadcast.
                EngineState unsure = engineState.withAnswer(OptionalLong.empty(), nowMillis + REPORT_INTERVAL_MILLIS);
                yield state.with(state.placement().with(order.target(), unsure));
            }
            case FENCED ->
                LeadershipFlow.resign(
                        state.with(state.placement()
                                .with(order.target(), engineState.withAnswer(OptionalLong.empty(), nowMillis))),
                        "fenced by an engine",
                        effects);
        };
    }

    private FleetState onAccepted(
            FleetState state,
            FleetTarget target,
            EngineState engineState,
            EngineOrder order,
            long nowMillis,
            List<FleetEffect> effects) {
        EngineState counted =
                engineState.withAnswer(OptionalLong.of(order.expectedCount() + 1), engineState.nextReportAtMillis());
        if (order.adapter().isEmpty()) {
            EngineState changing =
                    counted.withModelChange(order, nowMillis, nowMillis + firstReportMillis(state, target, order));
            return state.with(state.placement().with(order.target(), changing));
        }
        // ACCEPTED instead of HOLDS means that requests still use the adapter; a report shows when it is unloaded.
        EngineState next = order.action() == OrderAction.UNLOAD_ADAPTER
                ? engineState.withAnswer(OptionalLong.empty(), nowMillis + REPORT_INTERVAL_MILLIS)
                : counted;
        return adapters.applyAcceptedOrder(state, target, next, order, nowMillis, effects);
    }

    /** Returns how long after an order the first report is requested: earlier ones cannot show the end of a load. */
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
            EngineState engineState,
            EngineOrder order,
            long nowMillis,
            List<FleetEffect> effects) {
        if (order.action() == OrderAction.UNLOAD_ADAPTER) {
            OptionalLong count = OptionalLong.of(order.expectedCount() + 1);
            EngineState counted = engineState.withAnswer(count, engineState.nextReportAtMillis());
            return adapters.applyAcceptedOrder(state, target, counted, order, nowMillis, effects);
        }
        // The engine holds something else than this entry assumes; a report tells what, and the order count.
        EngineState unsure = engineState.withAnswer(OptionalLong.empty(), nowMillis);
        return state.with(state.placement().with(order.target(), unsure));
    }

    private static FleetState requestReports(
            FleetState state, String service, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetTarget target : Engines.all(state, service)) {
            EngineState engineState = Engines.stateOf(next, target);
            boolean due = engineState.orderCount().isEmpty()
                    || engineState.changingModel().isPresent();
            if (due && !engineState.reportPending() && nowMillis >= engineState.nextReportAtMillis()) {
                String id = target.description().id();
                effects.add(new FleetEffect.ReadReport(id, target.description().address()));
                next = next.with(next.placement().with(id, engineState.withReportRequested()));
            }
        }
        return next;
    }
}
