package org.jackdawbeam.logic.fleet;

import java.util.Map;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineDefinition;

/** Estimates how many requests for a model miss their objective, by the number of engines that hold it. */
final class ReplicaCosts {
    private static final double MAX_STABLE_LOAD = 0.95; // beyond that queues grow as long as the load lasts
    private static final double MAX_QUEUE_MISSED_SHARE = 0.5; // those who would wait longer are refused
    private static final double ORDER_SECONDS = 0.5; // until an engine has taken an order and its end is known
    private static final double UNKNOWN_OBJECTIVE_SECONDS = 1; // of callers who wait for a first token
    private static final double MILLIS_PER_SECOND = 1_000;

    private final EngineDefinition definition;
    private final Map<String, DemandEstimate> demand;
    private final PrefillStatistics pace;
    private final Set<String> modelsAtHand;

    /**
     * Prepares estimates.
     *
     * @param demand demand by model
     * @param modelsAtHand models that some engine can load without the weight store
     */
    ReplicaCosts(
            EngineDefinition definition,
            Map<String, DemandEstimate> demand,
            PrefillStatistics pace,
            Set<String> modelsAtHand) {
        this.definition = definition;
        this.demand = demand;
        this.pace = pace;
        this.modelsAtHand = modelsAtHand;
    }

    /**
     * Returns the requests of the coming time that miss their objective with the given number of replicas. Without any,
     * one is loaded when the first request comes.
     */
    double cost(String model, int replicas, double seconds) {
        return replicas > 0
                ? queueingCost(model, replicas, seconds)
                : costWithout(model, shortestLoadSeconds(model), seconds);
    }

    /** Returns the same for a model that no engine holds and that can be loaded in the given time. */
    double costWithout(String model, double loadSeconds, double seconds) {
        return queueingCost(model, 1, seconds) + loadingCost(model, loadSeconds, seconds);
    }

    int waiting(String model) {
        return demandFor(model).waiting();
    }

    double highestRate() {
        return demand.keySet().stream()
                .mapToDouble(this::requestsPerSecond)
                .max()
                .orElse(0);
    }

    /** Returns the requests a second over a longer time. */
    double longTermRate(String model) {
        return demandFor(model).longTermTokensPerSecond() / pace.promptTokens();
    }

    /** Returns the part of an engine's time that the requests for a model take. */
    double load(String model) {
        return pace.prefillMillis(demandFor(model).tokensPerSecond() * pace.uncachedShare()) / MILLIS_PER_SECOND;
    }

    /** Returns how long a replica demand to end its runs: the longest of them decides. */
    double drainSeconds(String model, int replicas) {
        double runSeconds = pace.longRunMillis() / MILLIS_PER_SECOND;
        return runSeconds * (1 - Math.exp(-requestsPerSecond(model) / replicas * runSeconds));
    }

    /** Returns the part of the requests that miss their objective when each waits for the model to be loaded. */
    double missedShare(String model, double loadSeconds) {
        return missedShareAfterWait(model, loadSeconds + ORDER_SECONDS);
    }

    private double missedShareAfterWait(String model, double seconds) {
        return Math.min(1, Math.pow(seconds / objectiveSeconds(model), 2));
    }

    double shortestLoadSeconds(String model) {
        return loadSeconds(model, modelsAtHand.contains(model));
    }

    double loadSeconds(String model, boolean atHand) {
        return definition.models().get(model).loadMillis(atHand) / MILLIS_PER_SECOND;
    }

    /** A model that has lost its place to others loses it again: each request waits for a load. */
    private double loadingCost(String model, double loadSeconds, double seconds) {
        return longTermRate(model) * seconds * missedShare(model, loadSeconds);
    }

    /** Beyond what the replicas can serve, requests are refused; the others wait in a queue. */
    private double queueingCost(String model, int replicas, double seconds) {
        double load = load(model) / replicas;
        double served = Math.min(1, MAX_STABLE_LOAD / load);
        double stable = Math.min(load, MAX_STABLE_LOAD);
        double readSeconds = pace.prefillMillis(pace.promptTokens() * pace.uncachedShare()) / MILLIS_PER_SECOND;
        double wait = readSeconds * stable / (1 - stable);
        double missed = Math.min(MAX_QUEUE_MISSED_SHARE, missedShareAfterWait(model, wait));
        return requestsPerSecond(model) * seconds * (1 - served * (1 - missed));
    }

    private double requestsPerSecond(String model) {
        return demandFor(model).tokensPerSecond() / pace.promptTokens();
    }

    private double objectiveSeconds(String model) {
        double millis = demandFor(model).objectiveMillis();
        return millis > 0 ? millis / MILLIS_PER_SECOND : UNKNOWN_OBJECTIVE_SECONDS;
    }

    private DemandEstimate demandFor(String model) {
        return demand.getOrDefault(model, DemandEstimate.NONE);
    }
}
