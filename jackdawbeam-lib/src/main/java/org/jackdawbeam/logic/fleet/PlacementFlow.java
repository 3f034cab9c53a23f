package org.jackdawbeam.logic.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.FleetMessage.PlacementWish;
import org.jackdawbeam.model.fleet.ServiceDefinition;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.log.OrderAction;

/** Orders engines to load and drop models and adapters, while this entry holds the placement duty. */
final class PlacementFlow {
    private static final long PLAN_MILLIS = 100;
    private static final long FIRST_REPORT_MILLIS = 420; // no model is loaded sooner
    private static final long REPORT_MILLIS = 200; // reports are that old
    private static final double LOAD_BURST = 2;
    private static final int LOADS_AT_ONCE = 3; // the weight store serves that many at full speed
    private static final int ADAPTER_WISH_MILLIS = 1_500;

    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        if (!LeadershipFlow.holds(state, nowMillis) || state.configuration().isEmpty()) {
            return state;
        }
        FleetState next = state;
        for (ServiceDefinition service : state.configuration().get().services().values()) {
            if (service.engine().isPresent()) {
                next = readReports(next, service.name(), nowMillis, effects);
                next = loadAdapters(next, service.name(), service.engine().get(), nowMillis, effects);
                next = planReplicas(next, service.name(), service.engine().get(), nowMillis, effects);
            }
        }
        return next;
    }

    FleetState onWish(FleetState state, long nowMillis, PlacementWish wish, List<FleetEffect> effects) {
        if (!LeadershipFlow.holds(state, nowMillis) || wish.adapter().isEmpty() || wish.target().isEmpty()) {
            return state;
        }
        FleetTarget target = state.targets().get(wish.target().get());
        if (target == null) {
            return state;
        }
        if (target.holds(wish.model(), wish.adapter())) {
            broadcast(state, target, effects);
            return state;
        }
        PlacementWish anonymous = new PlacementWish("", wish.service(), wish.model(), wish.adapter(), wish.target());
        EngineDuty duty = duty(state, target)
                .wished(adapterKey(wish.model(), wish.adapter().get()), nowMillis);
        FleetState wished = state.with(state.placement()
                .with(anonymous)
                .with(target.description().id(), duty));
        return state.configuration()
                .flatMap(known -> known.engine(wish.service()))
                .map(engine -> loadAdapters(wished, wish.service(), engine, nowMillis, effects))
                .orElse(wished);
    }

    FleetState onReport(FleetState state, FleetEvent.ReportRead event, List<FleetEffect> effects) {
        FleetTarget target = state.targets().get(event.target());
        if (target == null) {
            return state;
        }
        EngineDuty duty = duty(state, target);
        boolean usable = event.report()
                .map(report -> report.startedAtMillis() == target.description().startedAtMillis())
                .orElse(false);
        if (!usable) {
            EngineDuty again = duty.reported(duty.orderCount(), duty.changing(), event.nowMillis() + REPORT_MILLIS);
            return state.with(state.placement().with(event.target(), again));
        }
        TargetReport report = event.report().get();
        long count = Math.max(report.orderCount(), duty.orderCount().orElse(0));
        boolean settled = !report.busy() && event.nowMillis() - duty.changedAtMillis() > REPORT_MILLIS;
        Optional<String> changing = settled ? Optional.empty() : duty.changing();
        long reportAt = changing.isPresent() ? event.nowMillis() + REPORT_MILLIS : Long.MAX_VALUE;
        EngineDuty known = duty.reported(OptionalLong.of(count), changing, reportAt);
        boolean ordersSince = duty.orderCount().isPresent() && report.orderCount() < duty.orderCount().getAsLong();
        Map<String, Set<String>> adapters = ordersSince ? target.adapters() : report.adapters();
        Set<String> unloading = settled ? Set.of() : target.unloading();
        FleetTarget described = target.withResidency(report.models(), adapters, unloading);
        if (!described.equals(target)) {
            broadcast(state, described, effects);
        }
        return state.with(state.placement().with(event.target(), known)).with(described);
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
        EngineDuty duty = duty(state, target);
        if (!duty.underWay().equals(Optional.of(order))) {
            return state;
        }
        long nowMillis = event.nowMillis();
        return switch (event.response()) {
            case ACCEPTED -> accepted(state, target, duty, order, nowMillis, effects);
            case HOLDS -> holds(state, target, duty, order, nowMillis, effects);
            case CONFLICT, REJECTED, UNKNOWN -> {
                EngineDuty unsure = duty.answered(OptionalLong.empty(), nowMillis + REPORT_MILLIS);
                FleetTarget kept = target.withResidency(
                        target.description().models(), target.adapters(), Set.of());
                yield state.with(state.placement().with(order.target(), unsure)).with(kept);
            }
            case FENCED -> LeadershipFlow.giveUp(
                    state.with(state.placement().with(order.target(), duty.answered(OptionalLong.empty(), nowMillis))),
                    effects);
        };
    }

    private static FleetState accepted(
            FleetState state,
            FleetTarget target,
            EngineDuty duty,
            EngineOrder order,
            long nowMillis,
            List<FleetEffect> effects) {
        EngineDuty counted = duty.answered(OptionalLong.of(order.expectedCount() + 1), duty.reportAtMillis());
        if (order.adapter().isEmpty()) {
            EngineDuty changing =
                    counted.changing(Optional.of(order.model()), nowMillis, nowMillis + FIRST_REPORT_MILLIS);
            return state.with(state.placement().with(order.target(), changing));
        }
        return withAdapter(state, target, counted, order, effects);
    }

    private static FleetState holds(
            FleetState state,
            FleetTarget target,
            EngineDuty duty,
            EngineOrder order,
            long nowMillis,
            List<FleetEffect> effects) {
        boolean counts = order.action() == OrderAction.UNLOAD_ADAPTER;
        OptionalLong count = OptionalLong.of(order.expectedCount() + (counts ? 1 : 0));
        if (order.adapter().isPresent()) {
            return withAdapter(state, target, duty.answered(count, duty.reportAtMillis()), order, effects);
        }
        return state.with(state.placement().with(order.target(), duty.answered(count, nowMillis)));
    }

    private static FleetState withAdapter(
            FleetState state, FleetTarget target, EngineDuty duty, EngineOrder order, List<FleetEffect> effects) {
        Set<String> held = new HashSet<>(target.adapters().getOrDefault(order.model(), Set.of()));
        if (order.action() == OrderAction.LOAD_ADAPTER) {
            held.add(order.adapter().orElseThrow());
        } else {
            held.remove(order.adapter().orElseThrow());
        }
        Map<String, Set<String>> adapters = new HashMap<>(target.adapters());
        adapters.put(order.model(), Set.copyOf(held));
        FleetTarget changed = target.withAdapters(Map.copyOf(adapters));
        FleetState next = state.with(state.placement().with(order.target(), duty)).with(changed);
        broadcast(next, changed, effects);
        return next;
    }

    private static FleetState readReports(
            FleetState state, String service, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetTarget target : engines(state, service)) {
            EngineDuty duty = duty(next, target);
            boolean due = duty.orderCount().isEmpty() || duty.changing().isPresent();
            if (due && !duty.reportAsked() && nowMillis >= duty.reportAtMillis()) {
                String id = target.description().id();
                effects.add(new FleetEffect.ReadReport(id, target.description().address()));
                next = next.with(next.placement().with(id, duty.askedForReport()));
            }
        }
        return next;
    }

    private static FleetState loadAdapters(
            FleetState state, String service, EngineDefinition engine, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (PlacementWish wish : state.placement().wishes()) {
            if (wish.service().equals(service)) {
                next = loadAdapter(next, engine, wish, nowMillis, effects);
            }
        }
        return next;
    }

    private static FleetState loadAdapter(
            FleetState state, EngineDefinition engine, PlacementWish wish, long nowMillis, List<FleetEffect> effects) {
        String id = wish.target().orElseThrow();
        String adapter = wish.adapter().orElseThrow();
        FleetTarget target = state.targets().get(id);
        FleetState without = state.with(state.placement().without(wish));
        boolean pointless = target == null
                || target.description().leaving()
                || !target.holds(wish.model(), Optional.empty())
                || target.holds(wish.model(), Optional.of(adapter));
        if (pointless) {
            return without;
        }
        EngineDuty duty = duty(state, target);
        long wishedAt = duty.adapterWishedAt().getOrDefault(adapterKey(wish.model(), adapter), 0L);
        if (nowMillis - wishedAt > ADAPTER_WISH_MILLIS) {
            return without;
        }
        if (!duty.takesOrders()) {
            return state;
        }
        int held = target.adapters().values().stream().mapToInt(Set::size).sum();
        if (held < engine.adapterPlaces()) {
            return order(without, target, OrderAction.LOAD_ADAPTER, wish.model(), Optional.of(adapter), effects);
        }
        return dropAdapter(state, target, duty, effects);
    }

    /** Drops the adapter that has not been wished for the longest. */
    private static FleetState dropAdapter(
            FleetState state, FleetTarget target, EngineDuty duty, List<FleetEffect> effects) {
        record Held(String model, String adapter) {}
        Optional<Held> oldest = target.adapters().entrySet().stream()
                .flatMap(entry -> entry.getValue().stream().map(adapter -> new Held(entry.getKey(), adapter)))
                .min(Comparator.comparingLong((Held held) ->
                                duty.adapterWishedAt().getOrDefault(adapterKey(held.model(), held.adapter()), 0L))
                        .thenComparing(Held::adapter));
        return oldest.map(held -> order(
                        state,
                        target,
                        OrderAction.UNLOAD_ADAPTER,
                        held.model(),
                        Optional.of(held.adapter()),
                        effects))
                .orElse(state);
    }

    private static FleetState planReplicas(
            FleetState state, String service, EngineDefinition engine, long nowMillis, List<FleetEffect> effects) {
        if (nowMillis - state.placement().plannedAtMillis() < PLAN_MILLIS) {
            return state;
        }
        FleetState next = state.with(state.placement().accrue(engine.loadsPerSecond(), LOAD_BURST, nowMillis));
        List<FleetTarget> targets = engines(next, service);
        long loading = targets.stream()
                .filter(target -> duty(state, target).changing().isPresent()
                        && target.unloading().isEmpty())
                .count();
        if (next.placement().loads() < 1 || loading >= LOADS_AT_ONCE) {
            return next;
        }
        Map<String, ReplicaPlanner.Need> needs = new HashMap<>();
        PeerFlow.fleetDemand(next, nowMillis).forEach((key, demand) -> {
            if (key.service().equals(service)) {
                needs.put(key.model(), new ReplicaPlanner.Need(demand.tokensPerSecond(), demand.waiting()));
            }
        });
        List<ReplicaPlanner.Engine> engines =
                targets.stream().map(target -> view(state, target)).toList();
        Optional<ReplicaPlanner.Move> move = ReplicaPlanner.plan(engine, engines, needs);
        return move.map(chosen -> carryOut(next, chosen, effects)).orElse(next);
    }

    private static FleetState carryOut(FleetState state, ReplicaPlanner.Move move, List<FleetEffect> effects) {
        FleetTarget target = state.targets().get(move.engine());
        return switch (move) {
            case ReplicaPlanner.Move.Load load -> {
                FleetState paid = state.with(state.placement().spendLoad());
                yield order(paid, target, OrderAction.LOAD_MODEL, load.model(), Optional.empty(), effects);
            }
            case ReplicaPlanner.Move.Unload unload -> {
                FleetTarget dropping = target.withResidency(
                        target.description().models(), target.adapters(), Set.of(unload.model()));
                broadcast(state, dropping, effects);
                yield order(
                        state.with(dropping),
                        dropping,
                        OrderAction.UNLOAD_MODEL,
                        unload.model(),
                        Optional.empty(),
                        effects);
            }
        };
    }

    private static ReplicaPlanner.Engine view(FleetState state, FleetTarget target) {
        EngineDuty duty = duty(state, target);
        Optional<String> coming = duty.changing()
                .or(() -> duty.underWay()
                        .filter(order -> order.action() == OrderAction.LOAD_MODEL)
                        .map(EngineOrder::model))
                .filter(model -> !target.unloading().contains(model));
        Set<String> kept = new HashSet<>(target.description().models());
        kept.removeAll(target.unloading());
        return new ReplicaPlanner.Engine(target.description().id(), Set.copyOf(kept), duty.isIdle(), coming);
    }

    private static FleetState order(
            FleetState state,
            FleetTarget target,
            OrderAction action,
            String model,
            Optional<String> adapter,
            List<FleetEffect> effects) {
        EngineDuty duty = duty(state, target);
        EngineOrder order = new EngineOrder(
                target.description().id(),
                target.description().address(),
                action,
                model,
                adapter,
                duty.orderCount().orElseThrow(),
                state.leadership().fencingToken().orElseThrow());
        effects.add(new FleetEffect.SendOrder(order));
        return state.with(state.placement().with(target.description().id(), duty.ordered(order)));
    }

    private static void broadcast(FleetState state, FleetTarget target, List<FleetEffect> effects) {
        FleetMessage message = PeerFlow.residency(state, target);
        for (FleetPeer peer : state.peers().values()) {
            effects.add(new FleetEffect.SendPeerMessage(peer.member().peerAddress(), message));
        }
    }

    private static List<FleetTarget> engines(FleetState state, String service) {
        return state.targets().values().stream()
                .filter(target -> target.description().service().equals(service))
                .filter(target -> !target.description().leaving()
                        && target.goneAtMillis().isEmpty())
                .toList();
    }

    private static EngineDuty duty(FleetState state, FleetTarget target) {
        EngineDuty known = state.placement().engines().get(target.description().id());
        long startedAt = target.description().startedAtMillis();
        return known == null || known.startedAtMillis() != startedAt ? EngineDuty.unknown(startedAt) : known;
    }

    private static String adapterKey(String model, String adapter) {
        return model + "/" + adapter;
    }
}
