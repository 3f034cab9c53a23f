package org.jackdawbeam.model.fleet;

import java.util.Map;
import java.util.Set;

/**
 * State reported by a model engine, a few hundred milliseconds old.
 *
 * @param adapters adapters by model, including those that are still being loaded
 * @param busy whether the engine is executing an order
 * @param orderCount number of orders accepted since the start
 */
public record TargetReport(
        Set<String> models, Map<String, Set<String>> adapters, boolean busy, long orderCount, long startedAtMillis) {}
