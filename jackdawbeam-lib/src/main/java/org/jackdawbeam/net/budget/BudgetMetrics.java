package org.jackdawbeam.net.budget;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Prometheus metrics of a budget. */
public final class BudgetMetrics {
    private BudgetMetrics() {}

    /** Registers the metrics. */
    public static void register(PrometheusRegistry registry, ConnectionBudget budget) {
        GaugeWithCallback.builder()
                .name("jackdawbeam_held_bytes")
                .help("Memory held for heads, bodies, pipelined requests and unread answers of clients.")
                .callback(callback -> callback.call(budget.heldBytes()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("jackdawbeam_held_bytes_limit")
                .help("Most memory that is held for clients.")
                .callback(callback -> callback.call(budget.limitBytes()))
                .register(registry);
        CounterWithCallback.builder()
                .name("jackdawbeam_connections_closed_total")
                .help("Connections of clients closed because a limit of the process was reached.")
                .labelNames("reason")
                .callback(callback -> {
                    for (ConnectionBudget.Reason reason : ConnectionBudget.Reason.values()) {
                        callback.call(budget.evictions(reason), reason.name());
                    }
                })
                .register(registry);
    }
}
