package org.jackdawbeam.logic.fleet;

/**
 * Demand for a model, in prompt tokens, those that engines hold in their caches included.
 *
 * @param tokensPerSecond tokens asked for now
 * @param longTermTokensPerSecond tokens asked for now or over a longer time, whichever is more
 * @param waiting requests that wait for a replica
 * @param objectiveMillis mean objective of its requests, zero if none is known
 */
record DemandEstimate(double tokensPerSecond, double longTermTokensPerSecond, int waiting, double objectiveMillis) {
    static final DemandEstimate NONE = new DemandEstimate(0, 0, 0, 0);
}
