package org.jackdawbeam.logic.fleet;

/**
 * Estimated demand for a model in prompt tokens, including tokens that engines have cached.
 *
 * @param tokensPerSecond current demand
 * @param longTermTokensPerSecond current or long-term demand, whichever is higher
 * @param waiting number of requests that wait for a replica
 * @param objectiveMillis mean objective of its requests, zero if none is known
 * @param waitedMillis how long the model has been asked for while no engine held it
 */
record DemandEstimate(
        double tokensPerSecond,
        double longTermTokensPerSecond,
        int waiting,
        double objectiveMillis,
        long waitedMillis) {
    static final DemandEstimate NONE = new DemandEstimate(0, 0, 0, 0, 0);
}
