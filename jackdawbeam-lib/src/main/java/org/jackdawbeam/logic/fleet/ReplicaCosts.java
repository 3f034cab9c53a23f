package org.jackdawbeam.logic.fleet;

import java.util.Map;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.ModelDefinition;

/** Estimates how many requests for a model miss their objective, depending on the number of replicas. */
final class ReplicaCosts {
    private static final double MAX_STABLE_LOAD = 0.95; // above that, queues grow for as long as the load lasts
    private static final double MAX_QUEUE_MISSED_SHARE = 0.5; // requests that would wait longer are refused
    private static final double ORDER_SECONDS = 0.5; // until an order is accepted and its completion reported
    private static final double UNKNOWN_OBJECTIVE_SECONDS = 1; // typical for interactive callers
    private static final double MILLIS_PER_SECOND = 1_000;

    private final EngineDefinition definition;
    private final Map<String, DemandEstimate> demand;
    private final PrefillStatistics statistics;
    private final Set<String> modelsAtHand;
    private final long longestLoadMillis;

    /**
     * Prepares estimates.
     *
     * @param demand demand by model
     * @param modelsAtHand models that at least one engine can load without the weight store
     */
    ReplicaCosts(
            EngineDefinition definition,
            Map<String, DemandEstimate> demand,
            PrefillStatistics statistics,
            Set<String> modelsAtHand) {
        this.definition = definition;
        this.demand = demand;
        this.statistics = statistics;
        this.modelsAtHand = modelsAtHand;
        this.longestLoadMillis = definition.models().values().stream()
                .mapToLong(ModelDefinition::loadMillis)
                .max()
                .orElse(0);
    }

    /**
     * Returns the number of requests that miss their objective within the given time with the given number of replicas.
     * Without replicas, one is loaded when the first request arrives.
     */
    double cost(String model, int replicas, double seconds) {
        return replicas > 0
                ? queueingCost(model, replicas, seconds)
                : costWithout(model, shortestLoadSeconds(model), seconds);
    }

    /** Returns the same for a model that no engine holds, given the time to load it. */
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

    /** Returns the long-term number of requests per second. */
    double longTermRate(String model) {
        return demandFor(model).longTermTokensPerSecond() / statistics.promptTokens();
    }

    /** Returns the load of the requests for a model, where one is a fully busy engine. */
    double load(String model) {
        return statistics.prefillMillis(demandFor(model).tokensPerSecond() * statistics.uncachedShare())
                / MILLIS_PER_SECOND;
    }

    /** Returns the expected time in which a replica completes its running requests; the longest one determines it. */
    double drainSeconds(String model, int replicas) {
        double runSeconds = statistics.longRunMillis() / MILLIS_PER_SECOND;
        return runSeconds * (1 - Math.exp(-requestsPerSecond(model) / replicas * runSeconds));
    }

    /** Returns the share of requests that miss their objective when each waits for the model to be loaded. */
    double missedShare(String model, double loadSeconds) {
        return missedShareAfterWait(model, loadSeconds + ORDER_SECONDS);
    }

    private double missedShareAfterWait(String model, double seconds) {
        return Math.min(1, Math.pow(seconds / objectiveSeconds(model), 2));
    }

    double shortestLoadSeconds(String model) {
        return loadSeconds(model, modelsAtHand.contains(model));
    }

    /** Returns the load time; for a model that the configuration does not have, the longest one of the service. */
    double loadSeconds(String model, boolean atHand) {
        ModelDefinition known = definition.models().get(model);
        return (known == null ? longestLoadMillis : known.loadMillis(atHand)) / MILLIS_PER_SECOND;
    }

    /** Assumes that each request waits for a load, as a displaced model is displaced again after each load. */
    private double loadingCost(String model, double loadSeconds, double seconds) {
        return longTermRate(model) * seconds * missedShare(model, loadSeconds);
    }

    /** Assumes that requests beyond the capacity of the replicas are refused and that the others wait in a queue. */
    private double queueingCost(String model, int replicas, double seconds) {
        double load = load(model) / replicas;
        double served = Math.min(1, MAX_STABLE_LOAD / load);
        double stable = Math.min(load, MAX_STABLE_LOAD);
        double prefillSeconds =
                statistics.prefillMillis(statistics.promptTokens() * statistics.uncachedShare()) / MILLIS_PER_SECOND;
        double wait = prefillSeconds * stable / (1 - stable);
        double missed = Math.min(MAX_QUEUE_MISSED_SHARE, missedShareAfterWait(model, wait));
        return requestsPerSecond(model) * seconds * (1 - served * (1 - missed));
    }

    private double requestsPerSecond(String model) {
        return demandFor(model).tokensPerSecond() / statistics.promptTokens();
    }

    private double objectiveSeconds(String model) {
        double millis = demandFor(model).objectiveMillis();
        return millis > 0 ? millis / MILLIS_PER_SECOND : UNKNOWN_OBJECTIVE_SECONDS;
    }

    private DemandEstimate demandFor(String model) {
        return demand.getOrDefault(model, DemandEstimate.NONE);
    }
}
