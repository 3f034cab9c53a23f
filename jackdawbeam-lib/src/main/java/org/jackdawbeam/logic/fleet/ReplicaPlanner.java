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
    private static final double HIGHEST_STABLE_LOAD = 0.95; // beyond that queues grow as long as the load lasts
    private static final double HORIZON_SECONDS = 10; // demand for a model, and a queue in overload, lasts about that
    private static final double LEAST_USE = 0.1; // part of the horizon that even the longest load leaves
    private static final double DISPLACEMENT_FACTOR = 1.5; // keeps two models from displacing each other in turn
    private static final double MOVE_COST = 0.05; // a change occupies an engine and the weight store
    private static final double MILLIS_PER_SECOND = 1_000;
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
    private final ReadingPace pace;
    private final Map<String, Integer> replicas;
    private final Map<String, Double> gains;

    /**
     * Prepares a plan.
     *
     * @param needs demand by model
     * @param storeLoads whether the weight store may be used now
     * @param pace how fast engines read, and how long prompts are
     */
    ReplicaPlanner(
            EngineDefinition definition,
            List<Engine> engines,
            Map<String, Need> needs,
            boolean storeLoads,
            ReadingPace pace) {
        this.definition = definition;
        this.engines = engines;
        this.needs = needs;
        this.storeLoads = storeLoads;
        this.pace = pace;
        this.replicas = replicas(engines);
        this.gains = new HashMap<>();
        definition.models().keySet().forEach(model -> gains.put(model, gain(model)));
    }

    /** Returns the most useful change, if there is one. */
    Optional<Move> plan() {
        return definition.models().keySet().stream()
                .filter(model -> gains.get(model) > MOVE_COST)
                .sorted(Comparator.comparingDouble((String model) -> -gains.get(model))
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
        double gain = gains.get(model) * use(engine, model);
        double busy = LOAD_WEIGHT * load(engine);
        if (fits(definition, engine.models(), model)) {
            return Optional.of(new Candidate(new Move.Load(engine.id(), model), gain - busy));
        }
        return engine.models().stream()
                .filter(held -> loss(held) * DISPLACEMENT_FACTOR + MOVE_COST < gain)
                .map(held ->
                        new Candidate(new Move.Unload(engine.id(), held, model), gain - loss(held) - busy - MOVE_COST))
                .max(Comparator.comparingDouble(Candidate::benefit));
    }

    /** Returns the part of the horizon in which a replica can be used after its load. */
    private double use(Engine engine, String model) {
        return Math.max(LEAST_USE, 1 - loadSeconds(model, engine.atHand().contains(model)) / HORIZON_SECONDS);
    }

    private double loadSeconds(String model, boolean atHand) {
        ModelDefinition known = definition.models().get(model);
        if (known == null) {
            return HORIZON_SECONDS;
        }
        return (atHand ? known.diskMillis() : known.loadMillis()) / MILLIS_PER_SECOND;
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
                .mapToDouble(model -> load(need(model)) / Math.max(1, replicas.getOrDefault(model, 1)))
                .sum();
    }

    private double load(Need need) {
        return pace.readMillis(need.tokensPerSecond()) / MILLIS_PER_SECOND;
    }

    private double requestsPerSecond(Need need) {
        return need.tokensPerSecond() / pace.promptTokens();
    }

    /** Returns the waiting seconds per second that one more replica saves. */
    private double gain(String model) {
        Need need = need(model);
        int held = replicas.getOrDefault(model, 0);
        if (held == 0) {
            return withoutReplica(model) + need.waiting();
        }
        return requestsPerSecond(need) * (waitSeconds(need, held) - waitSeconds(need, held + 1));
    }

    /** Returns the waiting seconds per second that one replica less costs. */
    private double loss(String model) {
        Need need = need(model);
        int held = replicas.getOrDefault(model, 1);
        if (held <= 1) {
            return withoutReplica(model);
        }
        return requestsPerSecond(need) * (waitSeconds(need, held - 1) - waitSeconds(need, held));
    }

    /**
     * Returns the waiting seconds per second while no engine holds the model: each request waits for a load. The same
     * for a model that comes and one that goes, or two models of equal demand would displace each other in turn.
     */
    private double withoutReplica(String model) {
        return requestsPerSecond(need(model)) * loadSeconds(model, true);
    }

    /** Returns the mean waiting time at replicas that share a load evenly. */
    private double waitSeconds(Need need, int held) {
        double load = load(need) / held;
        double stable = Math.min(load, HIGHEST_STABLE_LOAD);
        double overload = Math.max(0, load - HIGHEST_STABLE_LOAD);
        double readSeconds = pace.readMillis(pace.promptTokens()) / MILLIS_PER_SECOND;
        return readSeconds * stable / (1 - stable) + HORIZON_SECONDS * overload;
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
