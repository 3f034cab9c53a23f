package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.log.OrderAction;

/** Looks up engines and sends orders to them on behalf of the placement leader. */
final class Engines {
    private Engines() {}

    static FleetState sendOrder(
            FleetState state,
            FleetTarget target,
            OrderAction action,
            String model,
            Optional<String> adapter,
            long nowMillis,
            List<FleetEffect> effects) {
        EngineState engineState = stateOf(state, target);
        EngineOrder order = new EngineOrder(
                target.description().id(),
                target.description().address(),
                action,
                model,
                adapter,
                engineState.orderCount().orElseThrow(),
                state.leadership().fencingToken().orElseThrow(),
                LeadershipFlow.leaseEndMillis(state));
        effects.add(new FleetEffect.SendOrder(
                order,
                engineState.startedAtMillis(),
                engineState.models().orElse(Set.of()),
                engineState.adapters().size()));
        PlacementState pending = state.placement().with(order.target(), engineState.withPendingOrder(order));
        return state.with(isLoad(order) ? pending.withSent(order, nowMillis) : pending);
    }

    private static boolean isLoad(EngineOrder order) {
        return order.action() == OrderAction.LOAD_MODEL || order.action() == OrderAction.LOAD_ADAPTER;
    }

    /**
     * Returns the loads that an engine may still execute after the next order, although it has started again since they
     * were sent. The next load must leave room for them.
     */
    static List<EngineOrder> laterLoads(FleetState state, FleetTarget target, long nowMillis) {
        long orderCount = stateOf(state, target).orderCount().orElse(0);
        return state.placement().unanswered().getOrDefault(target.description().id(), List.of()).stream()
                .filter(unanswered -> unanswered.mayFollow(orderCount, nowMillis))
                .map(UnansweredOrder::order)
                .toList();
    }

    static void broadcast(FleetState state, FleetTarget target, List<FleetEffect> effects) {
        PeerFlow.sendToAll(state, PeerFlow.residency(state, target), effects);
    }

    static List<FleetTarget> all(FleetState state, String service) {
        return state.targets().values().stream()
                .filter(target -> target.description().service().equals(service))
                .filter(target -> !target.isLeaving() && target.goneAtMillis().isEmpty())
                .toList();
    }

    /** Returns the engines onto which models and adapters may be loaded. */
    static List<FleetTarget> placeable(FleetState state, String service) {
        return all(state, service).stream()
                .filter(target -> !EvacuationFlow.isEvacuated(state, target))
                .toList();
    }

    static EngineState stateOf(FleetState state, FleetTarget target) {
        EngineState known = state.placement().engines().get(target.description().id());
        long startedAt = target.description().startedAtMillis();
        return known == null || known.startedAtMillis() != startedAt ? EngineState.unknown(startedAt) : known;
    }
}
