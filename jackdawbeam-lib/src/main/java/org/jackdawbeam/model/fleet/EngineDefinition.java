package org.jackdawbeam.model.fleet;

import java.util.Map;

/**
 * What all model engines of a service have in common.
 *
 * @param slots requests in one batch
 * @param cacheTokens tokens of prompts and answers that fit into memory
 * @param weightMegabytes memory for weights and adapters
 * @param adapterPlaces adapters that an engine may hold
 * @param loadsPerSecond loads that the weight store allows over all engines
 * @param models models by name
 */
public record EngineDefinition(
        int slots,
        long cacheTokens,
        double weightMegabytes,
        int adapterPlaces,
        double loadsPerSecond,
        Map<String, ModelDefinition> models) {}
