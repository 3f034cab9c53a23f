package org.jackdawbeam.logic.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.ModelDefinition;

/** Decides whether an engine has room for one more adapter. */
final class AdapterRoom {
    private AdapterRoom() {}

    /** Returns whether the slots and the memory of an engine suffice for another adapter of the model. */
    static boolean fits(
            FleetState state, EngineDefinition definition, FleetTarget target, String model, long nowMillis) {
        EngineState engineState = Engines.stateOf(state, target);
        List<EngineOrder> later = Engines.laterLoads(state, target, nowMillis);
        List<String> modelsOfAdapters = Stream.of(
                        engineState.adapters().keySet().stream().map(AdapterKey::model),
                        later.stream()
                                .filter(order -> order.adapter().isPresent())
                                .map(EngineOrder::model),
                        Stream.of(model))
                .flatMap(models -> models)
                .toList();
        if (modelsOfAdapters.size() > definition.adapterPlaces()) {
            return false;
        }
        Set<String> models = new HashSet<>(engineState.models().orElse(Set.of()));
        later.stream().filter(order -> order.adapter().isEmpty()).forEach(order -> models.add(order.model()));
        double weights = models.stream()
                .mapToDouble(name -> known(definition, name)
                        .map(ModelDefinition::weightMegabytes)
                        .orElse(Double.POSITIVE_INFINITY))
                .sum();
        double adapters = modelsOfAdapters.stream()
                .mapToDouble(name -> known(definition, name)
                        .map(ModelDefinition::adapterMegabytes)
                        .orElse(0.0))
                .sum();
        return weights + adapters <= definition.weightMegabytes();
    }

    private static Optional<ModelDefinition> known(EngineDefinition definition, String model) {
        return Optional.ofNullable(definition.models().get(model));
    }
}
