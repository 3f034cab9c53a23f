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
    private static final long PLAN_MILLIS = 100;
    private static final double FIRST_REPORT_PART = 0.95; // of the shortest time that a load may take
    private static final long REPORT_MILLIS = 200; // reports are that old

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
        boolean planDue = nowMillis - state.placement().plannedAtMillis() >= PLAN_MILLIS;
        FleetState next = adapters.noteUse(state, nowMillis, PeerFlow.work(state));
        for (ServiceDefinition service : state.configuration().get().services().values()) {
            if (service.engine().isPresent()) {
                next = readReports(next, service.name(), nowMillis, effects);
                next = adapters.announceArrived(next, service.name(), nowMillis, effects);
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
        EngineDuty duty = Engines.duty(state, target);
        boolean usable = event.report()
                .map(report -> report.startedAtMillis() == target.description().startedAtMillis()
                        && report.orderCount() >= duty.lowestCount())
                .orElse(false);
        if (!usable) {
            EngineDuty again = duty.askAgainAt(event.nowMillis() + REPORT_MILLIS);
            return state.with(state.placement().with(event.target(), again));
        }
        TargetReport report = event.report().get();
        boolean settled = !report.busy() && event.nowMillis() - duty.changedAtMillis() > REPORT_MILLIS;
        Optional<String> changing = settled
                ? Optional.empty()
                : duty.changing().or(() -> report.busy() ? Optional.of(EngineDuty.UNKNOWN_MODEL) : Optional.empty());
        long reportAt = changing.isPresent() ? event.nowMillis() + REPORT_MILLIS : Long.MAX_VALUE;
        EngineDuty known = duty.reported(report, changing, reportAt);
        EngineDuty corrected = known.withAdapters(AdapterFlow.reported(report, duty, event.nowMillis()));
        Set<String> unloading = settled ? Set.of() : target.unloading();
        FleetTarget described = target.withResidency(
                report.models(), AdapterFlow.usable(corrected, event.nowMillis()), unloading, event.nowMillis());
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
        if (!described.holdsTheSameAs(target)) {
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
        EngineDuty duty = Engines.duty(state, target);
        if (!duty.underWay().equals(Optional.of(order))) {
            return state;
        }
        long nowMillis = event.nowMillis();
        return switch (event.response()) {
            case ACCEPTED -> accepted(state, target, duty, order, nowMillis, effects);
            case HOLDS -> holds(state, target, duty, order, nowMillis, effects);
            case CONFLICT, REJECTED, UNKNOWN -> {
                // A model that was to go counts as going until a report says that it stays; then all are told.
                EngineDuty unsure = duty.answered(OptionalLong.empty(), nowMillis + REPORT_MILLIS);
                yield state.with(state.placement().with(order.target(), unsure));
            }
            case FENCED ->
                LeadershipFlow.resign(
                        state.with(
                                state.placement().with(order.target(), duty.answered(OptionalLong.empty(), nowMillis))),
                        effects);
        };
    }

    private FleetState accepted(
            FleetState state,
            FleetTarget target,
            EngineDuty duty,
            EngineOrder order,
            long nowMillis,
            List<FleetEffect> effects) {
        EngineDuty counted = duty.answered(OptionalLong.of(order.expectedCount() + 1), duty.reportAtMillis());
        if (order.adapter().isEmpty()) {
            EngineDuty changing =
                    counted.changing(order, nowMillis, nowMillis + firstReportMillis(state, target, order));
            return state.with(state.placement().with(order.target(), changing));
        }
        // An engine that does not answer that it is done still has requests of the adapter; a report tells the end.
        EngineDuty next = order.action() == OrderAction.UNLOAD_ADAPTER
                ? duty.answered(OptionalLong.empty(), nowMillis + REPORT_MILLIS)
                : counted;
        return adapters.withAdapter(state, target, next, order, nowMillis, effects);
    }

    /** Returns how long after an order the first report is worth its price. */
    private static long firstReportMillis(FleetState state, FleetTarget target, EngineOrder order) {
        Optional<ModelDefinition> model = state.configuration()
                .flatMap(known -> known.engine(target.description().service()))
                .map(engine -> engine.models().get(order.model()));
        if (order.action() != OrderAction.LOAD_MODEL || model.isEmpty()) {
            return REPORT_MILLIS;
        }
        boolean atHand = target.description().atHand().contains(order.model());
        long shortest = atHand ? model.get().memoryMillis() : model.get().loadMillis();
        return Math.max(REPORT_MILLIS, Math.round(shortest * FIRST_REPORT_PART));
    }

    private FleetState holds(
            FleetState state,
            FleetTarget target,
            EngineDuty duty,
            EngineOrder order,
            long nowMillis,
            List<FleetEffect> effects) {
        boolean counts = order.action() == OrderAction.UNLOAD_ADAPTER;
        OptionalLong count = OptionalLong.of(order.expectedCount() + (counts ? 1 : 0));
        if (order.adapter().isPresent()) {
            return adapters.withAdapter(
                    state, target, duty.answered(count, duty.reportAtMillis()), order, nowMillis, effects);
        }
        return state.with(state.placement().with(order.target(), duty.answered(count, nowMillis)));
    }

    private static FleetState readReports(FleetState state, String service, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetTarget target : Engines.all(state, service)) {
            EngineDuty duty = Engines.duty(next, target);
            boolean due = duty.orderCount().isEmpty() || duty.changing().isPresent();
            if (due && !duty.reportAsked() && nowMillis >= duty.reportAtMillis()) {
                String id = target.description().id();
                effects.add(new FleetEffect.ReadReport(id, target.description().address()));
                next = next.with(next.placement().with(id, duty.askedForReport()));
            }
        }
        return next;
    }
}
