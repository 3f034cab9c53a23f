package org.jackdawbeam.logic.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.jackdawbeam.logic.configuration.LoggedState;
import org.jackdawbeam.logic.target.TargetState;
import org.jackdawbeam.model.bundle.AdapterSpecification;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.bundle.ModelSpecification;
import org.jackdawbeam.model.log.OrderAction;
import org.jackdawbeam.model.log.OrderItem;

/**
 * Plans orders to engines. Models and adapters without a replica come first, then the minimum number of replicas, then
 * replicas by demand. The last ready replica is never unloaded, memory is never allocated twice, and loads stay within
 * the limits of the weight store. Each placement decision uses a new planner.
 */
public final class PlacementPlanner {
    private static final double REPLICA_TOKENS_PER_SECOND = 1_500;
    private static final double SURPLUS_FACTOR = 0.5;

    private final PlacementPolicy policy;
    private final Bundle bundle;
    private final List<EngineView> engines;
    private final Map<String, Double> demand;
    private final Set<String> waitingModels;
    private final Set<String> ordered = new HashSet<>();
    private final Map<String, Integer> plannedUnloads = new HashMap<>();
    private final List<PlannedOrder> plan = new ArrayList<>();
    private int remainingLoads;
    private int remainingAdapterLoads;

    /**
     * Creates a planner for one decision.
     *
     * @param reportsValidFromMillis by engine, the time from which its load reports reflect what is resident
     * @param demand charged tokens per second of the whole fleet, by model
     * @param waitingModels models that have waiting requests
     * @param storeLoadLimit number of model loads that the rate limit of the weight store allows now
     */
    public PlacementPlanner(
            PlacementPolicy policy,
            Bundle bundle,
            LoggedState logged,
            Map<String, TargetState> targets,
            Map<String, Long> reportsValidFromMillis,
            Map<String, Double> demand,
            Set<String> waitingModels,
            int storeLoadLimit,
            long nowMillis) {
        this.policy = policy;
        this.bundle = bundle;
        this.engines = EngineMemoryAccounting.views(bundle, logged, targets, reportsValidFromMillis, nowMillis);
        this.demand = demand;
        this.waitingModels = waitingModels;
        Set<String> modelNames = new HashSet<>();
        bundle.models().forEach(model -> modelNames.add(model.name()));
        this.remainingLoads = Math.min(storeLoadLimit, bundle.store().concurrentLoads() - loadsInFlight(modelNames));
        this.remainingAdapterLoads = bundle.store().concurrentAdapterLoads() - adaptersInFlight(modelNames);
    }

    /** Returns the orders to send now, at most one per engine. */
    public List<PlannedOrder> plan() {
        List<ModelSpecification> byDemand = bundle.models().stream()
                .sorted(Comparator.comparingDouble((ModelSpecification model) -> -demandOf(model.name()))
                        .thenComparing(ModelSpecification::name))
                .toList();
        availableEngines().filter(EngineView::needsFence).toList().forEach(engine -> addOrder(engine, List.of()));
        byDemand.stream().filter(model -> replicas(model) == 0).forEach(this::addReplica);
        placeAdapters();
        byDemand.stream()
                .filter(model -> replicas(model) < desiredReplicas(model))
                .sorted(Comparator.comparingDouble(model -> -demandPerReplica(model)))
                .forEach(this::addReplica);
        return List.copyOf(plan);
    }

    private int loadsInFlight(Set<String> modelNames) {
        return (int) engines.stream()
                .flatMap(engine -> engine.loading().stream())
                .filter(modelNames::contains)
                .count();
    }

    private int adaptersInFlight(Set<String> modelNames) {
        return (int) engines.stream()
                .flatMap(engine -> engine.loading().stream())
                .filter(name -> !modelNames.contains(name))
                .count();
    }

    private double demandOf(String model) {
        return demand.getOrDefault(model, 0.0);
    }

    /** Returns the number of replicas that are ready or being loaded. */
    private int replicas(ModelSpecification model) {
        return (int) engines.stream()
                .filter(engine -> engine.usable())
                .filter(engine -> engine.willHold(model.name()))
                .count();
    }

    private int readyReplicas(String model) {
        long ready = engines.stream()
                .filter(engine -> engine.usable() && !engine.uncertain())
                .filter(engine -> engine.ready().contains(model))
                .count();
        return (int) ready - plannedUnloads.getOrDefault(model, 0);
    }

    private int desiredReplicas(ModelSpecification model) {
        int minimum = Math.max(1, model.minimumReplicas());
        return switch (policy) {
            case PlacementPolicy.Static fixed -> minimum;
            case PlacementPolicy.LeastRecentlyUsed recent ->
                waitingModels.contains(model.name()) ? replicas(model) + 1 : minimum;
            case PlacementPolicy.ByDemand byDemand -> Math.max(minimum, replicasForDemand(model));
        };
    }

    private int replicasForDemand(ModelSpecification model) {
        int forDemand = (int) Math.ceil(demandOf(model.name()) / REPLICA_TOKENS_PER_SECOND);
        return Math.min(forDemand, engines.size());
    }

    /** Returns the demand per replica, which ranks the models that compete for memory. */
    private double demandPerReplica(ModelSpecification model) {
        return demandOf(model.name()) / Math.max(1, replicas(model));
    }

    private void addReplica(ModelSpecification model) {
        if (remainingLoads <= 0) {
            return;
        }
        Optional<EngineView> withRoom = availableEngines()
                .filter(engine -> !engine.committed().containsKey(model.name()))
                .filter(engine -> engine.freeBytes() >= model.bytes())
                .min(Comparator.comparingDouble(this::demandOn)
                        .thenComparing(engine -> -engine.freeBytes())
                        .thenComparing(EngineView::name));
        if (withRoom.isPresent()) {
            remainingLoads--;
            addOrder(withRoom.get(), List.of(new OrderItem(OrderAction.LOAD_MODEL, model.name(), model.bytes())));
            return;
        }
        makeRoom(model);
    }

    private Stream<EngineView> availableEngines() {
        return engines.stream()
                .filter(engine -> engine.usable() && !engine.busy())
                .filter(engine -> !ordered.contains(engine.name()));
    }

    /** Returns the demand on the engine if the demand for each model is spread evenly over its replicas. */
    private double demandOn(EngineView engine) {
        return bundle.models().stream()
                .filter(model -> engine.willHold(model.name()))
                .mapToDouble(this::demandPerReplica)
                .sum();
    }

    private void makeRoom(ModelSpecification model) {
        availableEngines()
                .filter(engine -> !engine.committed().containsKey(model.name()))
                .map(engine -> eviction(engine, model))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(Eviction::lostDemand)
                        .thenComparing(eviction -> eviction.items().size()))
                .ifPresent(eviction -> addOrder(eviction.engine(), eviction.items()));
    }

    private record Eviction(EngineView engine, List<OrderItem> items, double lostDemand) {}

    /** Returns the unloads that free enough memory for the model, those with the least demand per replica first. */
    private Optional<Eviction> eviction(EngineView engine, ModelSpecification wanted) {
        List<ModelSpecification> surplus = bundle.models().stream()
                .filter(model -> engine.ready().contains(model.name()))
                .filter(model -> isSurplus(model, wanted))
                .sorted(Comparator.comparingDouble(this::demandPerReplica).thenComparing(ModelSpecification::name))
                .toList();
        long free = engine.freeBytes();
        double lost = 0;
        List<OrderItem> items = new ArrayList<>();
        for (ModelSpecification model : surplus) {
            if (free >= wanted.bytes()) {
                break;
            }
            free += model.bytes() + unloadAdapters(engine, model, items);
            items.add(new OrderItem(OrderAction.UNLOAD_MODEL, model.name(), model.bytes()));
            lost += demandPerReplica(model);
        }
        return free >= wanted.bytes() && !items.isEmpty()
                ? Optional.of(new Eviction(engine, List.copyOf(items), lost))
                : Optional.empty();
    }

    private long unloadAdapters(EngineView engine, ModelSpecification model, List<OrderItem> items) {
        long freed = 0;
        for (AdapterSpecification adapter : adaptersOf(model.name())) {
            if (engine.ready().contains(adapter.name())) {
                items.add(new OrderItem(OrderAction.UNLOAD_ADAPTER, adapter.name(), adapter.bytes()));
                freed += adapter.bytes();
            }
        }
        return freed;
    }

    /**
     * Returns whether a replica may be evicted: others stay ready, and the demand for the wanted model is clearly
     * higher.
     */
    private boolean isSurplus(ModelSpecification model, ModelSpecification wanted) {
        int ready = readyReplicas(model.name());
        if (ready < 2 || model.name().equals(wanted.name())) {
            return false;
        }
        boolean wantedHasNoReplica = replicas(wanted) == 0;
        if (wantedHasNoReplica) {
            return true;
        }
        boolean aboveMinimum = ready > Math.max(1, model.minimumReplicas());
        double demandPerReplicaAfter = demandOf(model.name()) / (ready - 1);
        return aboveMinimum && demandPerReplicaAfter < SURPLUS_FACTOR * demandPerReplica(wanted);
    }

    private List<AdapterSpecification> adaptersOf(String model) {
        return bundle.adapters().stream()
                .filter(adapter -> adapter.model().equals(model))
                .toList();
    }

    /** Loads missing adapters on engines that hold their models, starting with those that have the fewest copies. */
    private void placeAdapters() {
        Map<String, Integer> copies = new HashMap<>();
        for (AdapterSpecification adapter : bundle.adapters()) {
            copies.put(adapter.name(), readyReplicas(adapter.name()));
        }
        availableEngines().toList().forEach(engine -> placeAdapters(engine, copies));
    }

    private void placeAdapters(EngineView engine, Map<String, Integer> copies) {
        long free = engine.freeBytes();
        List<OrderItem> items = new ArrayList<>();
        List<AdapterSpecification> missing = bundle.adapters().stream()
                .filter(adapter -> engine.ready().contains(adapter.model()))
                .filter(adapter -> !engine.committed().containsKey(adapter.name()))
                .sorted(Comparator.comparingInt(adapter -> copies.get(adapter.name())))
                .toList();
        for (AdapterSpecification adapter : missing) {
            boolean fits = adapter.bytes() <= free && items.size() < remainingAdapterLoads;
            if (fits) {
                free -= adapter.bytes();
                items.add(new OrderItem(OrderAction.LOAD_ADAPTER, adapter.name(), adapter.bytes()));
                copies.merge(adapter.name(), 1, Integer::sum);
            }
        }
        if (!items.isEmpty()) {
            remainingAdapterLoads -= items.size();
            addOrder(engine, List.copyOf(items));
        }
    }

    private void addOrder(EngineView engine, List<OrderItem> items) {
        ordered.add(engine.name());
        items.stream()
                .filter(item -> item.action() == OrderAction.UNLOAD_MODEL)
                .forEach(item -> plannedUnloads.merge(item.name(), 1, Integer::sum));
        plan.add(new PlannedOrder(engine.name(), items));
    }
}
