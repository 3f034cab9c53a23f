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
 * Plans which engine loads or unloads which model. The cost of a model is the number of its requests that miss their
 * objective within a horizon, either because they wait for a load while no engine holds the model or because they queue
 * at the engines that hold it. A model gets another replica if that saves clearly more than the displaced model loses.
 *
 * <p>A model that has been asked for in vain for too long is loaded whatever others lose, the one that has waited
 * longest first. Where there are more models than room, they take turns, and those that are used least give way first.
 */
final class ReplicaPlanner {
    private static final double HORIZON_SECONDS = 10; // typical duration of demand and of queues in overload
    private static final double SURGE_SECONDS = 100; // time between shifts of the highest demand to another model
    private static final double MAKE_ROOM_SECONDS = 3; // until a busy engine has room for an urgent model
    private static final double MIN_SURGE_RATE = 1; // requests per second assumed for a fleet without demand so far
    private static final double MIN_USABLE_SHARE = 0.1; // of the horizon, remains even after the longest load
    private static final double DISPLACEMENT_FACTOR = 1.5; // prevents two models from displacing each other in turn
    private static final double COST_PER_ORDER_SECOND = 0.1; // in requests; a change blocks other orders of the engine
    private static final double MIN_BENEFIT = 0.2; // in requests; less is not worth an order
    private static final double LOAD_WEIGHT = 0.2; // prefers less loaded engines among equal ones
    private static final long MAX_WAIT_MILLIS = 1_000; // leaves time for a load within the shortest deadlines
    private static final int OVERDUE_LOADS_DIVISOR = 3; // the other loads follow the demand
    private static final double MIN_STAY_LOADS = 3; // of the only replica of a model
    private static final double MAX_EXTRA_LOSS = 5; // in requests; rather than lose more, a model waits
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Planning view of an engine.
     *
     * @param models models that it holds and is not unloading
     * @param reserved models that it may load without a further order, for which room is kept
     * @param unchangedSeconds time since it began to load or unload a model
     * @param readyInSeconds time until it can accept an order, zero if idle; infinite if unknown
     * @param incomingModel model that it is loading or making room for
     * @param atHand models that it can load from host memory or disk, without the weight store
     */
    record Engine(
            String id,
            Set<String> models,
            Set<String> reserved,
            double unchangedSeconds,
            double readyInSeconds,
            Optional<String> incomingModel,
            Set<String> atHand) {
        boolean idle() {
            return readyInSeconds == 0;
        }

        boolean loadsFromStore() {
            return incomingModel.isPresent() && !atHand.contains(incomingModel.get());
        }
    }

    /** A change of one engine. */
    sealed interface Move {
        /** Returns the engine to change. */
        String engine();

        /** The engine loads the model. */
        record Load(String engine, String model) implements Move {}

        /** The engine unloads a model to make room for another. */
        record Unload(String engine, String model, String inFavourOf) implements Move {}
    }

    /**
     * A possible move.
     *
     * @param immediate whether the engine can begin now
     * @param settled whether no model would have to go before its load has paid off
     */
    private record Candidate(Move move, boolean immediate, boolean settled, double benefit) {}

    private final EngineDefinition definition;
    private final List<Engine> engines;
    private final boolean mayLoadFromStore;
    private final boolean mayDisplace;
    private final double underestimationFactor;
    private final ReplicaCosts costs;
    private final Map<String, DemandEstimate> demand;
    private final long concurrentLoads;
    private final Map<String, Integer> replicasNow;
    private final Map<String, Integer> replicasExpected;
    private final double totalSurgeWeight;
    private final double surgeRate;
    private final Map<String, Double> gains;
    private final Map<String, Double> lossesWithCopy = new HashMap<>();
    private final Map<String, Double> lossesWithoutCopy = new HashMap<>();
    private final Map<String, Double> loads = new HashMap<>();
    private final Map<String, Double> drainSeconds = new HashMap<>();

    /**
     * Prepares a plan.
     *
     * @param demand demand by model
     * @param concurrentLoads how many loads at once the weight store serves at full speed
     * @param mayLoadFromStore whether the weight store may be used now
     * @param mayDisplace whether demand is known well enough to unload a model in favour of another
     * @param underestimationFactor factor by which demand may be underestimated, at least one
     * @param statistics prefill speed and prompt lengths of the service
     */
    ReplicaPlanner(
            EngineDefinition definition,
            List<Engine> engines,
            Map<String, DemandEstimate> demand,
            long concurrentLoads,
            boolean mayLoadFromStore,
            boolean mayDisplace,
            double underestimationFactor,
            PrefillStatistics statistics) {
        this.definition = definition;
        this.engines = engines;
        this.demand = demand;
        this.concurrentLoads = concurrentLoads;
        this.mayLoadFromStore = mayLoadFromStore;
        this.mayDisplace = mayDisplace;
        this.underestimationFactor = underestimationFactor;
        this.replicasNow = replicas(engines, false);
        this.replicasExpected = replicas(engines, true);
        this.costs = new ReplicaCosts(definition, demand, statistics, modelsAtHand(engines));
        this.totalSurgeWeight = definition.models().keySet().stream()
                .sorted()
                .mapToDouble(this::surgeWeight)
                .sum();
        this.surgeRate = Math.max(MIN_SURGE_RATE, costs.highestRate());
        this.gains = new HashMap<>();
        definition.models().keySet().forEach(model -> gains.put(model, gain(model)));
    }

    /** Returns a move for the model that has waited too long, or else the most useful move, if there is one. */
    Optional<Move> plan() {
        return planForOverdue().or(this::planByBenefit);
    }

    private Optional<Move> planForOverdue() {
        if (countFirstLoads() >= Math.max(1, concurrentLoads / OVERDUE_LOADS_DIVISOR)) {
            return Optional.empty();
        }
        return definition.models().keySet().stream()
                .filter(this::isOverdue)
                .sorted(Comparator.comparingLong((String model) -> -waitedMillis(model))
                        .thenComparing(Comparator.naturalOrder()))
                .flatMap(model -> bestForOverdue(model).stream())
                .findFirst();
    }

    private boolean isOverdue(String model) {
        return !replicasExpected.containsKey(model) && waitedMillis(model) >= MAX_WAIT_MILLIS;
    }

    private long waitedMillis(String model) {
        return demand.getOrDefault(model, DemandEstimate.NONE).waitedMillis();
    }

    /** Returns how many engines load, or make room for, a model that no engine holds yet. */
    private long countFirstLoads() {
        return engines.stream()
                .filter(Engine::loadsFromStore)
                .filter(engine ->
                        !replicasNow.containsKey(engine.incomingModel().get()))
                .count();
    }

    /** Returns the move that costs least, among those that can begin now; empty while a much cheaper one is to come. */
    private Optional<Move> bestForOverdue(String model) {
        List<Candidate> candidates = candidates(model).toList();
        Optional<Candidate> cheapest = best(candidates.stream());
        boolean patient = waitedMillis(model) < HORIZON_SECONDS * MILLIS_PER_SECOND;
        return best(candidates.stream().filter(candidate -> candidate.immediate() && candidate.settled()))
                .filter(now -> !patient || cheapest.get().benefit() - now.benefit() <= MAX_EXTRA_LOSS)
                .map(Candidate::move);
    }

    private static Optional<Candidate> best(Stream<Candidate> candidates) {
        return candidates.max(Comparator.comparingDouble(Candidate::benefit)
                .thenComparing(candidate -> candidate.move().engine()));
    }

    private Optional<Move> planByBenefit() {
        return definition.models().keySet().stream()
                .filter(model -> gains.get(model) > MIN_BENEFIT)
                .sorted(Comparator.comparingDouble((String model) -> -gains.get(model))
                        .thenComparing(Comparator.naturalOrder()))
                .flatMap(model -> bestFor(model).stream())
                .findFirst();
    }

    private Stream<Candidate> candidates(String model) {
        return engines.stream()
                .filter(engine -> Double.isFinite(engine.readyInSeconds()))
                .filter(engine -> !engine.models().contains(model))
                .filter(engine -> mayLoadFromStore || engine.atHand().contains(model))
                .flatMap(engine -> candidates(engine, model));
    }

    /** Returns the best move for the model; empty if waiting for a busy engine is better. */
    private Optional<Move> bestFor(String model) {
        return best(candidates(model).filter(Candidate::settled).filter(candidate -> candidate.benefit() > MIN_BENEFIT))
                .filter(Candidate::immediate)
                .map(Candidate::move);
    }

    private Stream<Candidate> candidates(Engine engine, String model) {
        double loadSeconds = costs.loadSeconds(model, engine.atHand().contains(model));
        double engineCost = LOAD_WEIGHT * load(engine) + COST_PER_ORDER_SECOND * loadSeconds;
        if (fits(definition, union(engine.models(), engine.reserved()), model)) {
            double gain = gains.get(model) * usableShare(engine.readyInSeconds() + loadSeconds);
            return Stream.of(new Candidate(new Move.Load(engine.id(), model), engine.idle(), true, gain - engineCost));
        }
        if (!mayDisplace || !fits(definition, engine.reserved(), model)) {
            return Stream.empty();
        }
        return engine.models().stream()
                .sorted()
                .map(unloaded -> displacement(engine, unloaded, model, loadSeconds, engineCost));
    }

    /**
     * Rates the unloading of a model and of as many others as needed to make enough room. The only replica of a model
     * has settled when it has been there for several times as long as its load takes.
     */
    private Candidate displacement(
            Engine engine, String unloaded, String model, double loadSeconds, double engineCost) {
        Set<String> others = new HashSet<>(engine.models());
        double totalDrainSeconds = 0;
        double loss = 0;
        boolean settled = true;
        Optional<String> next = Optional.of(unloaded);
        while (next.isPresent()) {
            settled &= hasSettled(engine, next.get());
            others.remove(next.get());
            double seconds = drainSeconds(next.get());
            totalDrainSeconds += seconds;
            loss += loss(engine, next.get()) + COST_PER_ORDER_SECOND * seconds;
            next = fits(definition, union(others, engine.reserved()), model)
                    ? Optional.empty()
                    : others.stream()
                            .min(Comparator.comparingDouble((String other) -> loss(engine, other))
                                    .thenComparing(Comparator.naturalOrder()));
        }
        double gain = gains.get(model) * usableShare(engine.readyInSeconds() + totalDrainSeconds + loadSeconds);
        Move unload = new Move.Unload(engine.id(), unloaded, model);
        return new Candidate(unload, engine.idle(), settled, gain - loss - engineCost);
    }

    private boolean hasSettled(Engine engine, String model) {
        return replicasNow.getOrDefault(model, 1) > 1
                || engine.unchangedSeconds() >= MIN_STAY_LOADS * costs.shortestLoadSeconds(model);
    }

    /** Returns the share of the horizon in which a replica that is ready after the given time can be used. */
    private static double usableShare(double seconds) {
        return Math.max(MIN_USABLE_SHARE, 1 - seconds / HORIZON_SECONDS);
    }

    /** Returns whether a model fits beside others with room for the maximum number of adapters. */
    static boolean fits(EngineDefinition definition, Set<String> held, String model) {
        double weights = 0;
        double largestAdapter = 0;
        for (String name : held) {
            ModelDefinition known = definition.models().get(name);
            if (known == null) {
                return false;
            }
            weights += known.weightMegabytes();
            largestAdapter = Math.max(largestAdapter, known.adapterMegabytes());
        }
        ModelDefinition added = definition.models().get(model);
        if (added == null) {
            return false;
        }
        weights += held.contains(model) ? 0 : added.weightMegabytes();
        largestAdapter = Math.max(largestAdapter, added.adapterMegabytes());
        return weights + largestAdapter * definition.adapterPlaces() <= definition.weightMegabytes();
    }

    private static Set<String> union(Set<String> one, Set<String> other) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.isEmpty() ? other : one;
        }
        Set<String> all = new HashSet<>(one);
        all.addAll(other);
        return all;
    }

    private double drainSeconds(String model) {
        return drainSeconds.computeIfAbsent(model, name -> costs.drainSeconds(name, replicasNow.getOrDefault(name, 1)));
    }

    /** Returns the load of the models of an engine, as a share of its time. */
    private double load(Engine engine) {
        return loads.computeIfAbsent(engine.id(), id -> sumOfLoads(engine));
    }

    private double sumOfLoads(Engine engine) {
        return engine.models().stream()
                .sorted()
                .mapToDouble(model -> costs.load(model) / Math.max(1, replicasNow.getOrDefault(model, 1)))
                .sum();
    }

    /** Returns how many more requests meet their objective with one more replica. */
    private double gain(String model) {
        int count = replicasExpected.getOrDefault(model, 0);
        double gain = costs.cost(model, count, HORIZON_SECONDS) - costs.cost(model, count + 1, HORIZON_SECONDS);
        return count > 0 ? gain : gain + costs.waiting(model) + surgeCost(model, costs.shortestLoadSeconds(model));
    }

    /** Returns how many more requests miss their objective if the engine unloads its replica. */
    private double loss(Engine engine, String model) {
        boolean copyAtHand = engine.atHand().contains(model);
        Map<String, Double> losses = copyAtHand ? lossesWithCopy : lossesWithoutCopy;
        return losses.computeIfAbsent(model, name -> loss(name, costs.loadSeconds(name, copyAtHand)));
    }

    private double loss(String model, double reloadSeconds) {
        int count = replicasNow.getOrDefault(model, 1);
        double remainingCost = count > 1
                ? costs.cost(model, count - 1, HORIZON_SECONDS)
                : costs.costWithout(model, reloadSeconds, HORIZON_SECONDS) + costs.waiting(model);
        double queueing = (remainingCost - costs.cost(model, count, HORIZON_SECONDS))
                * DISPLACEMENT_FACTOR
                * underestimationFactor;
        boolean mayBeAskedFor = definition.models().containsKey(model);
        return count > 1 || !mayBeAskedFor ? queueing : queueing + surgeCost(model, reloadSeconds);
    }

    /** Returns how many requests are expected to wait because the highest demand shifts to a model without replica. */
    private double surgeCost(String model, double loadSeconds) {
        double chance = HORIZON_SECONDS / SURGE_SECONDS * surgeWeight(model) / totalSurgeWeight;
        return chance * surgeRate * (loadSeconds + MAKE_ROOM_SECONDS);
    }

    /** Returns the relative chance that demand shifts to the model; it is lower for a model with demand already. */
    private double surgeWeight(String model) {
        return 1 / (1 + costs.longTermRate(model) * HORIZON_SECONDS);
    }

    private static Set<String> modelsAtHand(List<Engine> engines) {
        Set<String> modelsAtHand = new HashSet<>();
        engines.forEach(engine -> modelsAtHand.addAll(engine.atHand()));
        return modelsAtHand;
    }

    private static Map<String, Integer> replicas(List<Engine> engines, boolean includeIncoming) {
        Map<String, Integer> replicas = new HashMap<>();
        for (Engine engine : engines) {
            Set<String> models = new HashSet<>(engine.models());
            engine.incomingModel().filter(model -> includeIncoming).ifPresent(models::add);
            models.forEach(model -> replicas.merge(model, 1, Integer::sum));
        }
        return replicas;
    }
}
