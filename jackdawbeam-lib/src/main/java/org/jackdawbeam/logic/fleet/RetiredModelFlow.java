package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.log.OrderAction;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Unloads models that the configuration no longer has. Their size is unknown, so that nothing can be loaded beside
 * them.
 */
final class RetiredModelFlow {
    /** Entries that have not read the new version yet send requests for the model; this covers the largest delay. */
    private static final long KEEP_MILLIS = 4_000;

    /** Unloads retired models from the idle engines of a service. */
    FleetState tick(
            FleetState state, String service, EngineDefinition definition, long nowMillis, List<FleetEffect> effects) {
        FleetState next = state;
        for (FleetTarget target : Engines.all(state, service)) {
            PMap<String, Long> retiredSince = retiredSince(next, definition, target, nowMillis);
            next = next.with(next.placement().withRetired(target.description().id(), retiredSince));
            Optional<String> due =
                    mayOrder(next, target, nowMillis) ? due(next, retiredSince, nowMillis) : Optional.empty();
            next = due.isPresent() ? unload(next, target, due.get(), nowMillis, effects) : next;
        }
        return next;
    }

    /** Returns whether an engine holds only models that the definition has. */
    static boolean knowsAll(EngineDefinition definition, EngineState engine) {
        return definition.models().keySet().containsAll(engine.models().orElse(Set.of()));
    }

    private static PMap<String, Long> retiredSince(
            FleetState state, EngineDefinition definition, FleetTarget target, long nowMillis) {
        PMap<String, Long> known = state.placement()
                .retiredSince()
                .getOrDefault(target.description().id(), HashTreePMap.empty());
        PMap<String, Long> current = HashTreePMap.empty();
        for (String model : Engines.stateOf(state, target).models().orElse(Set.of())) {
            current = definition.models().containsKey(model)
                    ? current
                    : current.plus(model, known.getOrDefault(model, nowMillis));
        }
        return current;
    }

    private static boolean mayOrder(FleetState state, FleetTarget target, long nowMillis) {
        return Engines.stateOf(state, target).isIdle() && !target.declinesOrders(nowMillis);
    }

    /**
     * Returns the first model that may be unloaded. The configuration must have been read since the model was first
     * missed: a newer version, of which another leader knows, may have added it.
     */
    private static Optional<String> due(FleetState state, PMap<String, Long> retiredSince, long nowMillis) {
        long readAt = state.feed(Feed.CONFIGURATION).freshAtMillis().orElse(Long.MIN_VALUE);
        Stream<String> due = retiredSince.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue() >= KEEP_MILLIS && readAt >= entry.getValue())
                .map(PMap.Entry::getKey);
        return due.sorted().findFirst();
    }

    private static FleetState unload(
            FleetState state, FleetTarget target, String model, long nowMillis, List<FleetEffect> effects) {
        effects.add(FleetEffect.Note.of(
                "retired_model_unloaded", "target", target.description().id(), "model", model));
        FleetTarget unloading = target.withUnloading(Set.of(model));
        Engines.broadcast(state, unloading, effects);
        return Engines.sendOrder(
                state.with(unloading),
                unloading,
                OrderAction.UNLOAD_MODEL,
                model,
                Optional.empty(),
                nowMillis,
                effects);
    }
}
