package org.jackdawbeam.bench.policy;

import java.util.List;

/**
 * A kind of request to model engines.
 *
 * @param requestsPerSecond requests a second on a usual day
 * @param objectiveMillis time to the first token for a full credit
 * @param deadlineMillis how long the caller waits for the whole answer
 * @param firstTokenTimeoutMillis how long the caller waits for the first token
 * @param credit credit of an answer in time
 * @param lateCredit credit of a late answer
 * @param sharedParts length of the prompt parts that requests share, each with the number of such parts
 * @param medianUniqueTokens median length of the rest of the prompt, which no other request has
 * @param medianOutputTokens median length of the answer
 * @param models models by rank of popularity; demand moves along this list
 * @param popularModels how many of them are asked for at a time
 * @param adapterShare part of the requests that need an adapter
 * @param adaptersPerModel adapters of each model
 */
record RequestKind(
        String name,
        double requestsPerSecond,
        long objectiveMillis,
        long deadlineMillis,
        long firstTokenTimeoutMillis,
        double credit,
        double lateCredit,
        List<SharedPart> sharedParts,
        double medianUniqueTokens,
        double medianOutputTokens,
        List<String> models,
        int popularModels,
        double adapterShare,
        int adaptersPerModel) {

    /** Prompt parts of one level of a prompt. */
    record SharedPart(int tokens, int variants) {}
}
