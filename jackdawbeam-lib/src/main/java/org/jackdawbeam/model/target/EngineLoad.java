package org.jackdawbeam.model.target;

import java.util.List;

/**
 * A load report of an engine. Reports are slightly out of date.
 *
 * @param engineRun identity of the engine process; changes with each restart
 * @param runningRequests requests in the current batch
 * @param queuedRequests requests that wait for a place in the batch
 * @param queuedTokens prompt tokens that wait for prefill
 * @param residentBytes accelerator memory of the resident models and adapters, in bytes
 * @param models resident models
 * @param adapters resident adapters
 * @param highestFencing highest fencing number seen by the engine
 * @param leaving whether the engine is about to stop
 */
public record EngineLoad(
        String engineRun,
        int runningRequests,
        int queuedRequests,
        long queuedTokens,
        long residentBytes,
        List<String> models,
        List<String> adapters,
        long highestFencing,
        boolean leaving) {

    public EngineLoad {
        models = List.copyOf(models);
        adapters = List.copyOf(adapters);
    }
}
