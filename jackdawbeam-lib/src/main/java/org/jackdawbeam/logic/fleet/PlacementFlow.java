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
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;
import org.jackdawbeam.model.fleet.ServiceDefinition;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.log.OrderAction;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Orders engines to load and drop models and adapters, while this entry holds the placement duty. */
final class PlacementFlow {
    private static final long PLAN_MILLIS = 100;
    private static final long FIRST_REPORT_MILLIS = 420; // no model is loaded sooner
    private static final long REPORT_MILLIS = 200; // reports are that old
    private static final double LOAD_BURST = 2;
    private static final int MOVES_AT_ONCE = 4; // bounds the work of one event
    private static final int LOADS_AT_ONCE = 3; // the weight store serves that many at full speed
    private static final long ADAPTER_WISH_MILLIS = 1_500; // a wish that is still needed is repeated sooner
    private static final long ADAPTER_LOAD_MILLIS = 16; // the largest adapter arrives within 14 ms
    private static final long ADAPTER_KEEP_MILLIS = 400; // more than the time between heartbeats that tell its use
    private static final long ARRIVAL_MEMORY_MILLIS = 500; // ten times the pause between looks

    FleetState tick(FleetState state, long nowMillis, List<FleetEffect> effects) {
        if (!LeadershipFlow.holds(state, nowMillis) || state.configuration().isEmpty()) {
            return state;
        }
        FleetState next = noteUse(state, nowMillis, PeerFlow.work(state));
        for (ServiceDefinition service : state.configuration().get().services().values()) {
            if (service.engine().isPresent()) {
                next = readReports(next, service.name(), nowMillis, effects);
                next = announceArrived(next, service.name(), nowMillis, effects);
                next = loadAdapters(next, service.name(), service.engine().get(), nowMillis, effects);
                next = planReplicas(next, service.name(), service.engine().get(), nowMillis, effects);
            }
        }
        return next;
    }

    FleetState onWish(FleetState state, long nowMillis, PlacementWish wish, List<FleetEffect> effects) {
        if (!LeadershipFlow.holds(state, nowMillis)
                || wish.adapter().isEmpty()
                || wish.target().isEmpty()) {
            return state;
        }
        FleetTarget target = state.targets().get(wish.target().get());
        if (target == null) {
            return state;
        }
        AdapterKey key = new AdapterKey(wish.model(), wish.adapter().get());
        EngineDuty duty = duty(state, target);
        AdapterPlace place = duty.adapters().get(key);
        if (place != null) {
            FleetState wanted = state.with(
                    state.placement().with(target.description().id(), duty.with(key, place.wanted(nowMillis))));
            return announce(wanted, target, nowMillis, effects);
        }
        PlacementWish anonymous = new PlacementWish("", wish.service(), wish.model(), wish.adapter(), wish.target());
        FleetState wished = state.with(state.placement().with(anonymous, nowMillis));
        return state.configuration()
                .flatMap(known -> known.engine(wish.service()))
                .map(engine -> loadAdapters(wished, wish.service(), engine, nowMillis, effects))
                .orElse(wished);
    }

    /** Keeps the adapters that requests use. */
    FleetState noteUse(FleetState state, long nowMillis, List<TargetWork> work) {
        if (!LeadershipFlow.holds(state, nowMillis)) {
            return state;
        }
        FleetState next = state;
        for (TargetWork item : work) {
            FleetTarget target = next.targets().get(item.target());
            if (target != null && !item.adapters().isEmpty()) {
                next = next.with(
                        next.placement().with(item.target(), duty(next, target).wanted(item.adapters(), nowMillis)));
            }
        }
        return next;
    }

    FleetState onReport(FleetState state, FleetEvent.ReportRead event, List<FleetEffect> effects) {
        FleetTarget target = state.targets().get(event.target());
        if (target == null) {
            return state;
        }
        EngineDuty duty = duty(state, target);
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
        boolean ordersSince = duty.orderCount().isPresent()
                && report.orderCount() < duty.orderCount().getAsLong();
        EngineDuty corrected = ordersSince ? known : known.withAdapters(reported(report, duty, event.nowMillis()));
        Set<String> unloading = settled ? Set.of() : target.unloading();
        FleetTarget described = target.withResidency(
                report.models(), usable(corrected, event.nowMillis()), unloading, event.nowMillis());
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
            broadcast(state, described, effects);
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
                FleetTarget kept = target.withUnloading(Set.of());
                yield state.with(state.placement().with(order.target(), unsure)).with(kept);
            }
            case FENCED ->
                LeadershipFlow.giveUp(
                        state.with(
                                state.placement().with(order.target(), duty.answered(OptionalLong.empty(), nowMillis))),
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
            EngineDuty changing = counted.changing(order, nowMillis, nowMillis + FIRST_REPORT_MILLIS);
            return state.with(state.placement().with(order.target(), changing));
        }
        // An engine that does not answer that it is done still has requests of the adapter; a report tells the end.
        EngineDuty next = order.action() == OrderAction.UNLOAD_ADAPTER
                ? duty.answered(OptionalLong.empty(), nowMillis + REPORT_MILLIS)
                : counted;
        return withAdapter(state, target, next, order, nowMillis, effects);
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
            return withAdapter(state, target, duty.answered(count, duty.reportAtMillis()), order, nowMillis, effects);
        }
        return state.with(state.placement().with(order.target(), duty.answered(count, nowMillis)));
    }

    private static FleetState withAdapter(
            FleetState state,
            FleetTarget target,
            EngineDuty duty,
            EngineOrder order,
            long nowMillis,
            List<FleetEffect> effects) {
        AdapterKey key = new AdapterKey(order.model(), order.adapter().orElseThrow());
        if (order.action() == OrderAction.UNLOAD_ADAPTER) {
            return state.with(state.placement().with(order.target(), duty.without(key)));
        }
        effects.add(new FleetEffect.WakeAfter(ADAPTER_LOAD_MILLIS));
        AdapterPlace place = new AdapterPlace(nowMillis + ADAPTER_LOAD_MILLIS, nowMillis);
        return state.with(state.placement().with(order.target(), duty.with(key, place)));
    }

    /** Tells everybody which adapters of an engine can be used, if that has changed. */
    private static FleetState announce(
            FleetState state, FleetTarget target, long nowMillis, List<FleetEffect> effects) {
        FleetTarget changed = target.withAdapters(usable(duty(state, target), nowMillis));
        broadcast(state, changed, effects);
        return state.with(changed);
    }

    private static FleetState announceArrived(
            FleetState state, String service, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetTarget target : engines(state, service)) {
            boolean arrived = duty(state, target).adapters().entrySet().stream()
                    .anyMatch(entry -> entry.getValue().usableAtMillis() <= nowMillis
                            && entry.getValue().usableAtMillis() > nowMillis - ARRIVAL_MEMORY_MILLIS
                            && !holds(target, entry.getKey()));
            next = arrived ? announce(next, target, nowMillis, effects) : next;
        }
        return next;
    }

    private static boolean holds(FleetTarget target, AdapterKey key) {
        return target.adapters().getOrDefault(key.model(), Set.of()).contains(key.adapter());
    }

    private static Map<String, Set<String>> usable(EngineDuty duty, long nowMillis) {
        Map<String, Set<String>> byModel = new HashMap<>();
        duty.adapters().forEach((key, place) -> {
            if (place.usableAtMillis() <= nowMillis) {
                byModel.computeIfAbsent(key.model(), model -> new HashSet<>()).add(key.adapter());
            }
        });
        byModel.replaceAll((model, adapters) -> Set.copyOf(adapters));
        return Map.copyOf(byModel);
    }

    private static PMap<AdapterKey, AdapterPlace> reported(TargetReport report, EngineDuty duty, long nowMillis) {
        PMap<AdapterKey, AdapterPlace> adapters = HashTreePMap.empty();
        for (Map.Entry<String, Set<String>> model : report.adapters().entrySet()) {
            for (String adapter : model.getValue()) {
                AdapterKey key = new AdapterKey(model.getKey(), adapter);
                AdapterPlace known = duty.adapters().get(key);
                adapters = adapters.plus(key, known == null ? new AdapterPlace(nowMillis, 0) : known);
            }
        }
        return adapters;
    }

    private static FleetState readReports(FleetState state, String service, long nowMillis, List<FleetEffect> effects) {
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
        for (Map.Entry<PlacementWish, Long> wish : state.placement().wishes().entrySet()) {
            if (wish.getKey().service().equals(service)) {
                next = loadAdapter(next, engine, wish.getKey(), wish.getValue(), nowMillis, effects);
            }
        }
        return next;
    }

    private static FleetState loadAdapter(
            FleetState state,
            EngineDefinition engine,
            PlacementWish wish,
            long wishedAtMillis,
            long nowMillis,
            List<FleetEffect> effects) {
        String id = wish.target().orElseThrow();
        String adapter = wish.adapter().orElseThrow();
        FleetTarget target = state.targets().get(id);
        FleetState without = state.with(state.placement().without(wish));
        boolean pointless = target == null
                || target.description().leaving()
                || !target.holds(wish.model(), Optional.empty())
                || duty(state, target).adapters().containsKey(new AdapterKey(wish.model(), adapter))
                || nowMillis - wishedAtMillis > ADAPTER_WISH_MILLIS;
        if (pointless) {
            return without;
        }
        EngineDuty duty = duty(state, target);
        if (!duty.isIdle()) {
            return state;
        }
        if (duty.adapters().size() < engine.adapterPlaces()) {
            return order(without, target, OrderAction.LOAD_ADAPTER, wish.model(), Optional.of(adapter), effects);
        }
        return dropAdapter(state, target, duty, nowMillis, effects);
    }

    /** Drops the adapter that no request has needed for the longest; one that was needed just now stays. */
    private static FleetState dropAdapter(
            FleetState state, FleetTarget target, EngineDuty duty, long nowMillis, List<FleetEffect> effects) {
        Optional<AdapterKey> oldest = duty.adapters().entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().wantedAtMillis() > ADAPTER_KEEP_MILLIS)
                .min(Comparator.comparingLong((Map.Entry<AdapterKey, AdapterPlace> entry) ->
                                entry.getValue().wantedAtMillis())
                        .thenComparing(entry -> entry.getKey().adapter()))
                .map(Map.Entry::getKey);
        if (oldest.isEmpty()) {
            return state;
        }
        AdapterKey key = oldest.get();
        EngineDuty leaving = duty.with(key, duty.adapters().get(key).leaving());
        String id = target.description().id();
        FleetState told = announce(state.with(state.placement().with(id, leaving)), target, nowMillis, effects);
        return order(
                told,
                told.targets().get(id),
                OrderAction.UNLOAD_ADAPTER,
                key.model(),
                Optional.of(key.adapter()),
                effects);
    }

    private static FleetState planReplicas(
            FleetState state, String service, EngineDefinition engine, long nowMillis, List<FleetEffect> effects) {
        if (nowMillis - state.placement().plannedAtMillis() < PLAN_MILLIS) {
            return state;
        }
        FleetState next = state.with(state.placement().accrue(engine.loadsPerSecond(), LOAD_BURST, nowMillis));
        Map<String, ReplicaPlanner.Need> needs = new HashMap<>();
        PeerFlow.fleetDemand(next, nowMillis).forEach((key, demand) -> {
            if (key.service().equals(service)) {
                needs.put(key.model(), new ReplicaPlanner.Need(demand.tokensPerSecond(), demand.waiting()));
            }
        });
        for (int moves = 0; moves < MOVES_AT_ONCE; moves++) {
            FleetState current = next;
            List<FleetTarget> targets = engines(current, service);
            long loading = targets.stream()
                    .filter(target -> view(current, target).loadsFromStore())
                    .count();
            boolean storeLoads = current.placement().loads() >= 1 && loading < LOADS_AT_ONCE;
            List<ReplicaPlanner.Engine> engines =
                    targets.stream().map(target -> view(current, target)).toList();
            Optional<ReplicaPlanner.Move> move = new ReplicaPlanner(engine, engines, needs, storeLoads).plan();
            if (move.isEmpty()) {
                return next;
            }
            next = carryOut(next, move.get(), effects);
        }
        return next;
    }

    private static FleetState carryOut(FleetState state, ReplicaPlanner.Move move, List<FleetEffect> effects) {
        FleetTarget target = state.targets().get(move.engine());
        return switch (move) {
            case ReplicaPlanner.Move.Load load -> {
                boolean fromStore = !target.description().atHand().contains(load.model());
                FleetState paid = fromStore ? state.with(state.placement().spendLoad()) : state;
                yield order(paid, target, OrderAction.LOAD_MODEL, load.model(), Optional.empty(), effects);
            }
            case ReplicaPlanner.Move.Unload unload -> {
                FleetTarget dropping = target.withUnloading(Set.of(unload.model()));
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
                .filter(model -> !model.equals(EngineDuty.UNKNOWN_MODEL))
                .filter(model -> !target.unloading().contains(model));
        Set<String> kept =
                new HashSet<>(duty.models().orElse(target.description().models()));
        kept.removeAll(target.unloading());
        return new ReplicaPlanner.Engine(
                target.description().id(),
                Set.copyOf(kept),
                duty.isIdle(),
                coming,
                target.description().atHand());
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
                .filter(target ->
                        !target.description().leaving() && target.goneAtMillis().isEmpty())
                .toList();
    }

    private static EngineDuty duty(FleetState state, FleetTarget target) {
        EngineDuty known = state.placement().engines().get(target.description().id());
        long startedAt = target.description().startedAtMillis();
        return known == null || known.startedAtMillis() != startedAt ? EngineDuty.unknown(startedAt) : known;
    }
}
