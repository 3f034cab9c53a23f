package org.jackdawbeam.model.fleet;

import java.util.Map;
import java.util.Set;

/**
 * State of a model engine as it reports it, some hundred milliseconds old.
 *
 * @param adapters adapters by model that it holds, also those still on their way
 * @param busy whether it carries out an order
 * @param orderCount orders accepted since its start
 */
public record TargetReport(
        Set<String> models, Map<String, Set<String>> adapters, boolean busy, long orderCount, long startedAtMillis) {}
