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
import org.jackdawbeam.model.fleet.FleetMessage.PlacementWish;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.log.OrderAction;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Loads requested adapters onto engines while this entry is the placement leader. A slot counts as occupied from the
 * load order on, before requests can use the adapter in it.
 */
final class AdapterFlow {
    private static final long ADAPTER_LOAD_MILLIS = 16; // loading the largest adapter takes 14 ms at most
    private static final long MIN_KEEP_MILLIS = 400; // longer than the interval of heartbeats, which report use
    /** After this time all entries know of a load; a request for the adapter means that the engine may have lost it. */
    private static final long ANNOUNCED_MILLIS = 1_000;

    private static final long MAX_WAIT_MILLIS = 1_000; // leaves time to be served within the shortest deadlines
    private static final long ARRIVAL_WINDOW_MILLIS = 500; // ten times the interval between ticks

    FleetState onWish(FleetState state, long nowMillis, PlacementWish wish, List<FleetEffect> effects) {
        if (!LeadershipFlow.isLeader(state, nowMillis)
                || wish.adapter().isEmpty()
                || wish.target().isEmpty()) {
            return state;
        }
        FleetTarget target = state.targets().get(wish.target().get());
        if (target == null) {
            return state;
        }
        AdapterKey key = new AdapterKey(wish.model(), wish.adapter().get());
        EngineState engineState = Engines.stateOf(state, target);
        AdapterSlot slot = engineState.adapters().get(key);
        if (slot != null && !slot.unloading()) {
            boolean doubtful = engineState.isIdle() && nowMillis - slot.usableAtMillis() > ANNOUNCED_MILLIS;
            EngineState used = engineState.with(key, slot.usedAt(nowMillis));
            EngineState checked = doubtful ? used.withAnswer(OptionalLong.empty(), nowMillis) : used;
            return broadcastAdapters(
                    state.with(state.placement().with(target.description().id(), checked)), target, nowMillis, effects);
        }
        AdapterWish first =
                new AdapterWish(wish.service(), key, target.description().id(), nowMillis, nowMillis);
        AdapterWish known = state.placement().wishes().getOrDefault(first.id(), first);
        AdapterWish asked = canLoad(state, known) ? known : known.withTarget(first.target());
        FleetState recorded = state.with(state.placement().with(asked.askedAgain(nowMillis)));
        return state.configuration()
                .flatMap(configuration -> configuration.engine(wish.service()))
                .map(engine -> loadAdapters(recorded, wish.service(), engine, nowMillis, effects))
                .orElse(recorded);
    }

    /** Updates the last use of adapters that outstanding requests need, so that they are not unloaded. */
    FleetState recordUse(FleetState state, long nowMillis, List<TargetWork> work) {
        if (!LeadershipFlow.isLeader(state, nowMillis)) {
            return state;
        }
        FleetState next = state;
        for (TargetWork item : work) {
            FleetTarget target = next.targets().get(item.target());
            if (target != null && !item.adapters().isEmpty()) {
                next = next.with(next.placement()
                        .with(
                                item.target(),
                                Engines.stateOf(next, target).withUsedAdapters(item.adapters(), nowMillis)));
            }
        }
        return next;
    }

    /** Loads the adapters that wait for the engines of a service; the one that has waited longest goes first. */
    FleetState loadAdapters(
            FleetState state, String service, EngineDefinition engine, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        Set<String> claimed = new HashSet<>();
        for (AdapterWish wish : queue(state, service)) {
            if (wish.isOver(nowMillis) || isHeld(next, wish)) {
                next = next.with(next.placement().without(wish));
            } else if (wish.isPending(nowMillis) && canLoad(next, wish)) {
                next = loadAdapter(next, engine, wish, claimed, nowMillis, effects);
            }
        }
        return next;
    }

    private static List<AdapterWish> queue(FleetState state, String service) {
        return state.placement().wishes().values().stream()
                .filter(wish -> wish.service().equals(service))
                .sorted(Comparator.comparingLong(AdapterWish::firstAskedAtMillis)
                        .thenComparing(wish -> wish.key().model())
                        .thenComparing(wish -> wish.key().adapter()))
                .toList();
    }

    private static boolean isHeld(FleetState state, AdapterWish wish) {
        return Optional.ofNullable(state.targets().get(wish.target()))
                .map(target -> Engines.stateOf(state, target).adapters().get(wish.key()))
                .map(slot -> !slot.unloading())
                .orElse(false);
    }

    private static boolean canLoad(FleetState state, AdapterWish wish) {
        FleetTarget target = state.targets().get(wish.target());
        return target != null
                && !target.isLeaving()
                && !EvacuationFlow.isEvacuated(state, target)
                && target.holds(wish.key().model(), Optional.empty());
    }

    /**
     * Loads an adapter, or makes room for it.
     *
     * @param claimed engines whose next free slot belongs to an adapter that has waited longer; extended by this one's
     */
    private static FleetState loadAdapter(
            FleetState state,
            EngineDefinition engine,
            AdapterWish wish,
            Set<String> claimed,
            long nowMillis,
            List<FleetEffect> effects) {
        FleetTarget target = state.targets().get(wish.target());
        EngineState engineState = Engines.stateOf(state, target);
        boolean available = engineState.isIdle()
                && !target.declinesOrders(nowMillis)
                && !claimed.contains(wish.target())
                && RetiredModelFlow.knowsAll(engine, engineState);
        if (!available) {
            claimed.add(wish.target());
            return findAlternativeEngine(state, engine, wish, claimed, nowMillis)
                    .map(other -> order(state, other, OrderAction.LOAD_ADAPTER, wish.key(), nowMillis, effects))
                    .map(ordered -> ordered.with(ordered.placement().without(wish)))
                    .orElse(state);
        }
        AdapterSlot kept = engineState.adapters().get(wish.key());
        if (kept != null) {
            FleetState revived = state.with(state.placement()
                    .with(wish.target(), engineState.with(wish.key(), kept.withUnloading(false)))
                    .without(wish));
            return broadcastAdapters(revived, target, nowMillis, effects);
        }
        if (AdapterRoom.fits(state, engine, target, wish.key().model(), nowMillis)) {
            FleetState without = state.with(state.placement().without(wish));
            return order(without, target, OrderAction.LOAD_ADAPTER, wish.key(), nowMillis, effects);
        }
        claimed.add(wish.target());
        boolean overdue = nowMillis - wish.firstAskedAtMillis() > MAX_WAIT_MILLIS;
        return makeRoom(state, target, engineState, overdue, nowMillis, effects);
    }

    private static FleetState order(
            FleetState state,
            FleetTarget target,
            OrderAction action,
            AdapterKey key,
            long nowMillis,
            List<FleetEffect> effects) {
        return Engines.sendOrder(state, target, action, key.model(), Optional.of(key.adapter()), nowMillis, effects);
    }

    /** Returns an idle engine that holds the model and has room for the adapter. */
    private static Optional<FleetTarget> findAlternativeEngine(
            FleetState state, EngineDefinition engine, AdapterWish wish, Set<String> claimed, long nowMillis) {
        String model = wish.key().model();
        return Engines.placeable(state, wish.service()).stream()
                .filter(target -> target.holds(model, Optional.empty()) && !target.declinesOrders(nowMillis))
                .filter(target -> !claimed.contains(target.description().id()))
                .filter(target -> Engines.stateOf(state, target).isIdle())
                .filter(target -> AdapterRoom.fits(state, engine, target, model, nowMillis))
                .min(Comparator.comparingLong(FleetTarget::pendingPrefillTokens)
                        .thenComparing(target -> target.description().id()));
    }

    /**
     * Unloads the least recently used adapter, unless even that one was used within {@link #MIN_KEEP_MILLIS}. If the
     * wish is overdue, the adapter that has been held longest then receives no more requests, so that it can be
     * unloaded when those that use it have ended.
     */
    private static FleetState makeRoom(
            FleetState state,
            FleetTarget target,
            EngineState engineState,
            boolean overdue,
            long nowMillis,
            List<FleetEffect> effects) {
        Optional<AdapterKey> oldest = engineState.adapters().entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().lastUsedAtMillis() > MIN_KEEP_MILLIS)
                .min(Comparator.comparingLong((Map.Entry<AdapterKey, AdapterSlot> entry) ->
                                entry.getValue().lastUsedAtMillis())
                        .thenComparing(entry -> entry.getKey().adapter()))
                .map(Map.Entry::getKey);
        if (oldest.isEmpty()) {
            return overdue ? retire(state, target, engineState, nowMillis, effects) : state;
        }
        AdapterKey key = oldest.get();
        EngineState unloading =
                engineState.with(key, engineState.adapters().get(key).withUnloading(true));
        String id = target.description().id();
        FleetState updated =
                broadcastAdapters(state.with(state.placement().with(id, unloading)), target, nowMillis, effects);
        return order(updated, updated.targets().get(id), OrderAction.UNLOAD_ADAPTER, key, nowMillis, effects);
    }

    private static FleetState retire(
            FleetState state, FleetTarget target, EngineState engineState, long nowMillis, List<FleetEffect> effects) {
        boolean retiring = engineState.adapters().values().stream().anyMatch(AdapterSlot::unloading);
        Optional<AdapterKey> longest = engineState.adapters().entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().usableAtMillis() > MAX_WAIT_MILLIS)
                .min(Comparator.comparingLong((Map.Entry<AdapterKey, AdapterSlot> entry) ->
                                entry.getValue().usableAtMillis())
                        .thenComparing(entry -> entry.getKey().adapter()))
                .map(Map.Entry::getKey);
        if (retiring || longest.isEmpty()) {
            return state;
        }
        AdapterSlot slot = engineState.adapters().get(longest.get());
        EngineState changed = engineState.with(longest.get(), slot.withUnloading(true));
        return broadcastAdapters(
                state.with(state.placement().with(target.description().id(), changed)), target, nowMillis, effects);
    }

    FleetState applyAcceptedOrder(
            FleetState state,
            FleetTarget target,
            EngineState engineState,
            EngineOrder order,
            long nowMillis,
            List<FleetEffect> effects) {
        AdapterKey key = new AdapterKey(order.model(), order.adapter().orElseThrow());
        if (order.action() == OrderAction.UNLOAD_ADAPTER) {
            return state.with(state.placement().with(order.target(), engineState.without(key)));
        }
        effects.add(new FleetEffect.WakeAfter(ADAPTER_LOAD_MILLIS));
        AdapterSlot slot = new AdapterSlot(nowMillis + ADAPTER_LOAD_MILLIS, nowMillis, false);
        return state.with(state.placement().with(order.target(), engineState.with(key, slot)));
    }

    /** Broadcasts to all entries which adapters of an engine can be used. */
    private static FleetState broadcastAdapters(
            FleetState state, FleetTarget target, long nowMillis, List<FleetEffect> effects) {
        FleetTarget changed = target.withAdapters(usableAdapters(Engines.stateOf(state, target), nowMillis));
        Engines.broadcast(state, changed, effects);
        return state.with(changed);
    }

    FleetState broadcastLoadedAdapters(FleetState state, String service, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetTarget target : Engines.all(state, service)) {
            boolean arrived = Engines.stateOf(state, target).adapters().entrySet().stream()
                    .anyMatch(entry -> entry.getValue().isUsable(nowMillis)
                            && entry.getValue().usableAtMillis() > nowMillis - ARRIVAL_WINDOW_MILLIS
                            && !holds(target, entry.getKey()));
            next = arrived ? broadcastAdapters(next, target, nowMillis, effects) : next;
        }
        return next;
    }

    private static boolean holds(FleetTarget target, AdapterKey key) {
        return target.adapters().getOrDefault(key.model(), Set.of()).contains(key.adapter());
    }

    static Map<String, Set<String>> usableAdapters(EngineState engineState, long nowMillis) {
        Map<String, Set<String>> byModel = new HashMap<>();
        engineState.adapters().forEach((key, slot) -> {
            if (slot.isUsable(nowMillis)) {
                byModel.computeIfAbsent(key.model(), model -> new HashSet<>()).add(key.adapter());
            }
        });
        byModel.replaceAll((model, adapters) -> Set.copyOf(adapters));
        return Map.copyOf(byModel);
    }

    static PMap<AdapterKey, AdapterSlot> reportedAdapters(
            TargetReport report, EngineState engineState, long nowMillis) {
        PMap<AdapterKey, AdapterSlot> adapters = HashTreePMap.empty();
        for (Map.Entry<String, Set<String>> model : report.adapters().entrySet()) {
            for (String adapter : model.getValue()) {
                AdapterKey key = new AdapterKey(model.getKey(), adapter);
                AdapterSlot known = engineState.adapters().get(key);
                adapters = adapters.plus(
                        key, known == null ? new AdapterSlot(nowMillis, 0, false) : known.withUnloading(false));
            }
        }
        return adapters;
    }
}
