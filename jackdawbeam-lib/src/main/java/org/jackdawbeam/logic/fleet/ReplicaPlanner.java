package org.jackdawbeam.logic.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.ModelDefinition;

/**
 * Plans which engine loads or drops which model. A model without a replica that is asked for goes first; then the model
 * with the highest demand per replica, as long as that is clearly more than what the replica it displaces has.
 */
final class ReplicaPlanner {
    private static final double TOKENS_READ_PER_SECOND = 25_000; // the stated prefill rate of the engines in use
    private static final double PRESSURE_WORTH_A_LOAD = 0.25; // a quarter of an engine's time spent reading prompts
    private static final double HYSTERESIS = 0.6; // a displaced replica must be worth this much less
    private static final double LAST_REPLICA = 4; // more than any pressure of a model that is served in time
    private static final double WAITING_TOKENS = 2_000; // what a waiting request counts as demand each second

    /**
     * An engine to plan for.
     *
     * @param models models that it holds and keeps
     * @param idle whether it takes an order
     * @param coming model that is being loaded
     */
    record Engine(String id, Set<String> models, boolean idle, Optional<String> coming) {}

    /** Demand for a model. */
    record Need(double tokensPerSecond, int waiting) {}

    /** A change of one engine. */
    sealed interface Move {
        /** Returns the engine to change. */
        String engine();

        /** The engine loads the model. */
        record Load(String engine, String model) implements Move {}

        /** The engine drops a model to make room for another. */
        record Unload(String engine, String model, String inFavourOf) implements Move {}
    }

    private record Victim(Engine engine, Optional<String> model, double value) {}

    private ReplicaPlanner() {}

    /** Returns the most useful change, if there is one. */
    static Optional<Move> plan(EngineDefinition definition, List<Engine> engines, Map<String, Need> needs) {
        Map<String, Integer> replicas = replicas(engines);
        List<String> order = definition.models().keySet().stream()
                .filter(model -> pressure(needs.get(model), replicas.getOrDefault(model, 0)) > 0)
                .sorted(Comparator.comparingDouble(
                                (String model) -> -pressure(needs.get(model), replicas.getOrDefault(model, 0)))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
        for (String model : order) {
            double pressure = pressure(needs.get(model), replicas.getOrDefault(model, 0));
            if (pressure < PRESSURE_WORTH_A_LOAD) {
                return Optional.empty();
            }
            Optional<Move> move = moveFor(definition, engines, needs, replicas, model, pressure);
            if (move.isPresent()) {
                return move;
            }
        }
        return Optional.empty();
    }

    private static Optional<Move> moveFor(
            EngineDefinition definition,
            List<Engine> engines,
            Map<String, Need> needs,
            Map<String, Integer> replicas,
            String model,
            double pressure) {
        return engines.stream()
                .filter(engine -> engine.idle() && !engine.models().contains(model))
                .map(engine -> victim(definition, engine, needs, replicas, model))
                .filter(victim -> victim.value() < pressure * HYSTERESIS)
                .min(Comparator.comparingDouble(Victim::value)
                        .thenComparing(victim -> victim.engine().models().size())
                        .thenComparing(victim -> victim.engine().id()))
                .map(victim -> victim.model()
                        .<Move>map(dropped -> new Move.Unload(victim.engine().id(), dropped, model))
                        .orElseGet(() -> new Move.Load(victim.engine().id(), model)));
    }

    /** Returns what the engine would have to drop first, with its value. */
    private static Victim victim(
            EngineDefinition definition,
            Engine engine,
            Map<String, Need> needs,
            Map<String, Integer> replicas,
            String model) {
        if (fits(definition, engine.models(), model)) {
            return new Victim(engine, Optional.empty(), 0);
        }
        return engine.models().stream()
                .map(held -> new Victim(engine, Optional.of(held), value(needs.get(held), replicas.get(held))))
                .min(Comparator.comparingDouble(Victim::value))
                .orElse(new Victim(engine, Optional.empty(), Double.MAX_VALUE));
    }

    /** Returns whether a model fits beside others, with room for as many adapters as the engine may hold. */
    static boolean fits(EngineDefinition definition, Set<String> held, String model) {
        Set<String> all = new HashSet<>(held);
        all.add(model);
        double weights = 0;
        double largestAdapter = 0;
        for (String name : all) {
            ModelDefinition known = definition.models().get(name);
            if (known == null) {
                return false;
            }
            weights += known.weightMegabytes();
            largestAdapter = Math.max(largestAdapter, known.adapterMegabytes());
        }
        return weights + largestAdapter * definition.adapterPlaces() <= definition.weightMegabytes();
    }

    private static Map<String, Integer> replicas(List<Engine> engines) {
        Map<String, Integer> replicas = new HashMap<>();
        for (Engine engine : engines) {
            Set<String> held = new HashSet<>(engine.models());
            engine.coming().ifPresent(held::add);
            held.forEach(model -> replicas.merge(model, 1, Integer::sum));
        }
        return replicas;
    }

    private static double pressure(Need need, int replicas) {
        if (need == null) {
            return 0;
        }
        double load = (need.tokensPerSecond() + WAITING_TOKENS * need.waiting()) / TOKENS_READ_PER_SECOND;
        return replicas == 0 ? 1_000 * (load > 0 ? 1 + load : 0) : load / replicas;
    }

    private static double value(Need need, int replicas) {
        if (replicas <= 1) {
            return need == null ? LAST_REPLICA : LAST_REPLICA * (1 + 100 * pressure(need, 1));
        }
        return pressure(need, replicas - 1);
    }
}
