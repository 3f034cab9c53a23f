package org.jackdawbeam.bench.policy;

import java.util.List;

/**
 * Workload parameters of one kind of request to model engines.
 *
 * @param requestsPerSecond request rate on a usual day
 * @param objectiveMillis longest time to the first token that earns the full credit
 * @param deadlineMillis how long the caller waits for the complete answer
 * @param firstTokenTimeoutMillis how long the caller waits for the first token
 * @param pauseObjectiveMillis longest time between two events that earns the full credit
 * @param credit credit for an answer that meets the objectives
 * @param lateCredit credit for an answer that misses an objective but meets the deadline
 * @param sharedParts prompt parts that requests share, by level of the prompt
 * @param medianUniqueTokens median length of the rest of the prompt, which is unique to the request
 * @param medianOutputTokens median length of the answer
 * @param models models by popularity rank; demand shifts along this list
 * @param popularModels number of models that are in demand at the same time
 * @param adapterShare share of the requests that need an adapter
 * @param adaptersPerModel number of adapters of each model
 */
record RequestKind(
        String name,
        double requestsPerSecond,
        long objectiveMillis,
        long deadlineMillis,
        long firstTokenTimeoutMillis,
        long pauseObjectiveMillis,
        double credit,
        double lateCredit,
        List<SharedPart> sharedParts,
        double medianUniqueTokens,
        double medianOutputTokens,
        List<String> models,
        int popularModels,
        double adapterShare,
        int adaptersPerModel) {

    /** Length of the shared prompt parts of one level, and the number of different parts. */
    record SharedPart(int tokens, int variants) {}
}
