package org.jackdawbeam.logic.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.ModelDefinition;

/**
 * Plans which engine loads or drops which model. Each replica has a value: the waiting time per second that callers
 * would have more without it. A model gains a replica where that saves clearly more than the displaced one is worth.
 */
final class ReplicaPlanner {
    private static final double TOKENS_READ_PER_SECOND = 20_000; // prefill rate of an engine that also decodes
    private static final double TOKENS_PER_REQUEST = 2_000; // typical prompt; turns tokens into requests
    private static final double READ_SECONDS = TOKENS_PER_REQUEST / TOKENS_READ_PER_SECOND;
    private static final double HIGHEST_STABLE_LOAD = 0.95; // beyond that queues grow as long as the load lasts
    private static final double SECONDS_PER_OVERLOAD = 10; // a queue in overload grows for about that long
    private static final double RELOAD_SECONDS = 1; // a request for a model without a replica waits for a load
    private static final double DISPLACEMENT_FACTOR = 1.5; // keeps two models from displacing each other in turn
    private static final double MOVE_COST = 0.05; // a change occupies an engine and the weight store
    private static final double STORE_LOAD_COST = 0.1; // a load from the weight store takes twice as long
    private static final double LOAD_WEIGHT = 0.2; // prefers the less loaded of otherwise equal engines

    /**
     * An engine to plan for.
     *
     * @param models models that it holds and keeps
     * @param idle whether it takes an order
     * @param coming model that is being loaded
     * @param atHand models that it can load without the weight store
     */
    record Engine(String id, Set<String> models, boolean idle, Optional<String> coming, Set<String> atHand) {

        boolean loadsFromStore() {
            return coming.isPresent() && !atHand.contains(coming.get());
        }
    }

    /** Demand for a model, and how many requests wait for a replica. */
    record Need(double tokensPerSecond, int waiting) {
        private static final Need NONE = new Need(0, 0);

        double requestsPerSecond() {
            return tokensPerSecond / TOKENS_PER_REQUEST;
        }

        double load() {
            return tokensPerSecond / TOKENS_READ_PER_SECOND;
        }
    }

    /** A change of one engine. */
    sealed interface Move {
        /** Returns the engine to change. */
        String engine();

        /** The engine loads the model. */
        record Load(String engine, String model) implements Move {}

        /** The engine drops a model to make room for another. */
        record Unload(String engine, String model, String inFavourOf) implements Move {}
    }

    private record Candidate(Move move, double benefit) {}

    private final EngineDefinition definition;
    private final List<Engine> engines;
    private final Map<String, Need> needs;
    private final boolean storeLoads;
    private final Map<String, Integer> replicas;

    /**
     * Prepares a plan.
     *
     * @param needs demand by model
     * @param storeLoads whether the weight store may be used now
     */
    ReplicaPlanner(EngineDefinition definition, List<Engine> engines, Map<String, Need> needs, boolean storeLoads) {
        this.definition = definition;
        this.engines = engines;
        this.needs = needs;
        this.storeLoads = storeLoads;
        this.replicas = replicas(engines);
    }

    /** Returns the most useful change, if there is one. */
    Optional<Move> plan() {
        return definition.models().keySet().stream()
                .filter(model -> gain(model) > MOVE_COST)
                .sorted(Comparator.comparingDouble((String model) -> -gain(model))
                        .thenComparing(Comparator.naturalOrder()))
                .map(this::bestFor)
                .flatMap(Optional::stream)
                .findFirst();
    }

    private Optional<Move> bestFor(String model) {
        return engines.stream()
                .filter(engine -> engine.idle() && !engine.models().contains(model))
                .filter(engine -> storeLoads || engine.atHand().contains(model))
                .flatMap(engine -> candidate(engine, model).stream())
                .max(Comparator.comparingDouble(Candidate::benefit)
                        .thenComparing(candidate -> candidate.move().engine()))
                .map(Candidate::move);
    }

    private Optional<Candidate> candidate(Engine engine, String model) {
        double extra = LOAD_WEIGHT * load(engine) + (engine.atHand().contains(model) ? 0 : STORE_LOAD_COST);
        if (fits(definition, engine.models(), model)) {
            return Optional.of(new Candidate(new Move.Load(engine.id(), model), gain(model) - extra));
        }
        return engine.models().stream()
                .filter(held -> loss(held) * DISPLACEMENT_FACTOR + MOVE_COST < gain(model))
                .map(held -> new Candidate(
                        new Move.Unload(engine.id(), held, model), gain(model) - loss(held) - extra - MOVE_COST))
                .max(Comparator.comparingDouble(Candidate::benefit));
    }

    /** Returns whether a model fits beside others, with room for as many adapters as the engine may hold. */
    static boolean fits(EngineDefinition definition, Set<String> held, String model) {
        double weights = 0;
        double largestAdapter = 0;
        for (String name : Stream.concat(held.stream(), Stream.of(model)).toList()) {
            ModelDefinition known = definition.models().get(name);
            if (known == null) {
                return false;
            }
            weights += known.weightMegabytes();
            largestAdapter = Math.max(largestAdapter, known.adapterMegabytes());
        }
        return weights + largestAdapter * definition.adapterPlaces() <= definition.weightMegabytes();
    }

    /** Returns the part of an engine's time that its models take. */
    private double load(Engine engine) {
        return engine.models().stream()
                .mapToDouble(model -> need(model).load() / Math.max(1, replicas.getOrDefault(model, 1)))
                .sum();
    }

    /** Returns the waiting seconds per second that one more replica saves. */
    private double gain(String model) {
        Need need = need(model);
        int held = replicas.getOrDefault(model, 0);
        if (held == 0) {
            return need.requestsPerSecond() * RELOAD_SECONDS + need.waiting();
        }
        return need.requestsPerSecond() * (waitSeconds(need, held) - waitSeconds(need, held + 1));
    }

    /** Returns the waiting seconds per second that one replica less costs. */
    private double loss(String model) {
        Need need = need(model);
        int held = replicas.getOrDefault(model, 1);
        if (held <= 1) {
            return need.requestsPerSecond() * RELOAD_SECONDS;
        }
        return need.requestsPerSecond() * (waitSeconds(need, held - 1) - waitSeconds(need, held));
    }

    /** Returns the mean waiting time at replicas that share a load evenly. */
    private static double waitSeconds(Need need, int replicas) {
        double load = need.load() / replicas;
        double stable = Math.min(load, HIGHEST_STABLE_LOAD);
        double overload = Math.max(0, load - HIGHEST_STABLE_LOAD);
        return READ_SECONDS * stable / (1 - stable) + SECONDS_PER_OVERLOAD * overload;
    }

    private Need need(String model) {
        return needs.getOrDefault(model, Need.NONE);
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
}
