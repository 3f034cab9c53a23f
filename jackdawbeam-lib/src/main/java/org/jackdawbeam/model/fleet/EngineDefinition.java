package org.jackdawbeam.model.fleet;

import java.util.Map;

/**
 * Properties shared by all model engines of a service.
 *
 * @param slots maximum number of requests in one batch
 * @param cacheTokens capacity of the KV cache in tokens
 * @param weightMegabytes memory for weights and adapters, in megabytes
 * @param adapterPlaces maximum number of adapters on one engine
 * @param loadsPerSecond loads per second that the weight store allows for all engines together
 * @param models models by name
 */
public record EngineDefinition(
        int slots,
        long cacheTokens,
        double weightMegabytes,
        int adapterPlaces,
        double loadsPerSecond,
        Map<String, ModelDefinition> models) {}
