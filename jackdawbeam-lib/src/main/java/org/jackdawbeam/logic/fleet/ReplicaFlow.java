package org.jackdawbeam.logic.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.FleetMessage.ModelDemand;
import org.jackdawbeam.model.fleet.ModelDefinition;
import org.jackdawbeam.model.log.OrderAction;

/** Plans replicas and sends the planned moves as orders to idle engines. */
final class ReplicaFlow {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double LOAD_BURST = 2; // the limit on loads in a window allows three
    private static final int MAX_MOVES = 4; // bounds the work per event
    /** Unloading waits several seconds for the last running request. */
    private static final long RESERVATION_MILLIS = 8_000;

    private static final int COLD_LOADS = 3; // with the wait for the order and the room

    private static final double ANSWER_SECONDS = 0.3; // upper bound of the time to an answer to an order

    /** Plans for the engines of one service. */
    FleetState plan(
            FleetState state, String service, EngineDefinition engine, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state.with(state.placement().accrue(engine.loadsPerSecond(), LOAD_BURST, nowMillis));
        Map<DemandKey, ModelDemand> currentDemand = PeerFlow.fleetDemand(next, nowMillis);
        next = next.with(next.placement().with(next.placement().trend().updated(currentDemand, nowMillis)));
        next = dropExpiredReservations(next, nowMillis);
        Map<String, DemandEstimate> estimates = next.placement().trend().estimates(service, currentDemand, nowMillis);
        boolean mayDisplace = next.placement().trend().hasEnoughHistory(nowMillis)
                || estimates.values().stream().anyMatch(estimate -> estimate.waiting() > 0);
        double underestimationFactor = next.placement().trend().underestimationFactor(nowMillis);
        for (int moves = 0; moves < MAX_MOVES; moves++) {
            FleetState current = next;
            List<ReplicaPlanner.Engine> engines = Engines.placeable(current, service).stream()
                    .map(target -> plannedEngine(current, engine, target, nowMillis))
                    .toList();
            long loading = engines.stream()
                    .filter(ReplicaPlanner.Engine::loadsFromStore)
                    .count();
            long concurrentLoads = concurrentStoreLoads(engine);
            boolean mayLoadFromStore = current.placement().availableLoads() >= 1 && loading < concurrentLoads;
            Optional<ReplicaPlanner.Move> move = new ReplicaPlanner(
                            engine,
                            engines,
                            estimates,
                            concurrentLoads,
                            mayLoadFromStore,
                            mayDisplace,
                            underestimationFactor,
                            current.prefillStatistics(service))
                    .plan();
            if (move.isEmpty()) {
                return next;
            }
            effects.add(note(service, move.get(), estimates));
            next = apply(next, move.get(), nowMillis, effects);
        }
        return next;
    }

    private static FleetEffect.Note note(
            String service, ReplicaPlanner.Move move, Map<String, DemandEstimate> estimates) {
        String model = switch (move) {
            case ReplicaPlanner.Move.Load load -> load.model();
            case ReplicaPlanner.Move.Unload unload -> unload.inFavourOf();
        };
        DemandEstimate demand = estimates.getOrDefault(model, DemandEstimate.NONE);
        return FleetEffect.Note.of(
                "replica_planned",
                "service",
                service,
                "target",
                move.engine(),
                "model",
                model,
                "unloads",
                move instanceof ReplicaPlanner.Move.Unload unload ? unload.model() : "",
                "tokens_per_second",
                Math.round(demand.tokensPerSecond()),
                "waiting",
                demand.waiting(),
                "waited_ms",
                demand.waitedMillis());
    }

    private static FleetState dropExpiredReservations(FleetState state, long nowMillis) {
        PlacementState placement = state.placement();
        for (Map.Entry<String, PlacementState.Reservation> entry :
                placement.reservations().entrySet()) {
            boolean expired = nowMillis - entry.getValue().sinceMillis() > RESERVATION_MILLIS;
            placement = expired
                    ? placement.withReservations(placement.reservations().minus(entry.getKey()))
                    : placement;
        }
        return state.with(placement);
    }

    /** Returns how many loads at once the weight store serves at full speed: its load rate times the mean load time. */
    private static long concurrentStoreLoads(EngineDefinition engine) {
        double loadSeconds = engine.models().values().stream()
                        .mapToLong(ModelDefinition::loadMillis)
                        .average()
                        .orElse(0)
                / MILLIS_PER_SECOND;
        return Math.max(1, Math.round(engine.loadsPerSecond() * loadSeconds));
    }

    private static FleetState apply(
            FleetState state, ReplicaPlanner.Move move, long nowMillis, List<FleetEffect> effects) {
        FleetTarget target = state.targets().get(move.engine());
        PlacementState placement = state.placement();
        return switch (move) {
            case ReplicaPlanner.Move.Load load -> {
                boolean fromStore = !target.description().atHand().contains(load.model());
                PlacementState kept =
                        placement.withReservations(placement.reservations().minus(load.engine()));
                FleetState charged = state.with(fromStore ? kept.spendLoad() : kept);
                yield Engines.sendOrder(
                        charged, target, OrderAction.LOAD_MODEL, load.model(), Optional.empty(), nowMillis, effects);
            }
            case ReplicaPlanner.Move.Unload unload -> {
                PlacementState reserved = placement.withReservations(placement
                        .reservations()
                        .plus(unload.engine(), new PlacementState.Reservation(unload.inFavourOf(), nowMillis)));
                FleetTarget unloading = target.withUnloading(Set.of(unload.model()));
                Engines.broadcast(state, unloading, effects);
                yield Engines.sendOrder(
                        state.with(reserved).with(unloading),
                        unloading,
                        OrderAction.UNLOAD_MODEL,
                        unload.model(),
                        Optional.empty(),
                        nowMillis,
                        effects);
            }
        };
    }

    private static ReplicaPlanner.Engine plannedEngine(
            FleetState state, EngineDefinition definition, FleetTarget target, long nowMillis) {
        EngineState engineState = Engines.stateOf(state, target);
        String id = target.description().id();
        double longRunMillis =
                state.prefillStatistics(target.description().service()).longRunMillis();
        Optional<String> incomingModel = engineState
                .changingModel()
                .or(() -> engineState
                        .pendingOrder()
                        .filter(order -> order.action() == OrderAction.LOAD_MODEL)
                        .map(EngineOrder::model))
                .filter(model -> !model.equals(EngineState.UNKNOWN_MODEL))
                .filter(model -> !target.unloading().contains(model))
                .or(() -> Optional.ofNullable(state.placement().reservations().get(id))
                        .filter(reservation ->
                                !engineState.isIdle() && nowMillis - reservation.sinceMillis() < longRunMillis)
                        .map(PlacementState.Reservation::model));
        Set<String> kept =
                new HashSet<>(engineState.models().orElse(target.description().models()));
        if (!engineState.isIdle()) {
            kept.removeAll(target.unloading());
        }
        long coldMillis = WarmUpFlow.remainingMillis(state, target, nowMillis);
        boolean replaced = kept.removeIf(model -> isReplaced(definition, model, coldMillis));
        return new ReplicaPlanner.Engine(
                id,
                target.limit().isPresent() ? Set.of() : Set.copyOf(kept),
                reservedModels(state, target, nowMillis),
                (nowMillis - engineState.changedAtMillis()) / MILLIS_PER_SECOND,
                replaced
                        ? Double.POSITIVE_INFINITY
                        : readyInSeconds(definition, target, engineState, longRunMillis, nowMillis),
                incomingModel,
                target.description().atHand());
    }

    /** Returns whether another engine could load a model well before the cold one that holds it is warm. */
    private static boolean isReplaced(EngineDefinition definition, String model, long coldMillis) {
        ModelDefinition known = definition.models().get(model);
        return known != null && coldMillis > COLD_LOADS * known.loadMillis();
    }

    private static Set<String> reservedModels(FleetState state, FleetTarget target, long nowMillis) {
        return Engines.laterLoads(state, target, nowMillis).stream()
                .filter(order -> order.adapter().isEmpty())
                .map(EngineOrder::model)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the time until the engine can accept an order; infinite if it is unknown or long overdue. */
    private static double readyInSeconds(
            EngineDefinition definition,
            FleetTarget target,
            EngineState engineState,
            double longRunMillis,
            long nowMillis) {
        if (target.declinesOrders(nowMillis) || engineState.orderCount().isEmpty()) {
            return Double.POSITIVE_INFINITY;
        }
        if (engineState.isIdle()) {
            return 0;
        }
        if (engineState.pendingOrder().isPresent()) {
            return ANSWER_SECONDS;
        }
        String model = engineState.changingModel().orElseThrow();
        ModelDefinition known = definition.models().get(model);
        boolean unloading = target.unloading().contains(model);
        if (known == null && !unloading) {
            return Double.POSITIVE_INFINITY;
        }
        boolean atHand = target.description().atHand().contains(model);
        double neededMillis = unloading ? longRunMillis : known.loadMillis(atHand);
        double needed = neededMillis / MILLIS_PER_SECOND;
        double elapsed = (nowMillis - engineState.changedAtMillis()) / MILLIS_PER_SECOND;
        return elapsed > 2 * needed ? Double.POSITIVE_INFINITY : Math.max(ANSWER_SECONDS, needed - elapsed);
    }
}
