package org.jackdawbeam.net.http;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Prometheus metrics of the reads of the store. */
public final class HedgedReadMetrics {
    private HedgedReadMetrics() {}

    /** Registers the metrics. */
    public static void register(PrometheusRegistry registry, HedgedReads storeReads) {
        CounterWithCallback.builder()
                .name("jackdawbeam_silent_connections_total")
                .help("Connections to the store that were silent while it responded on a new one.")
                .callback(callback -> callback.call(storeReads.silentConnections()))
                .register(registry);
    }
}
