package org.jackdawbeam.cli;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMemoryMetrics;
import io.prometheus.metrics.instrumentation.jvm.ProcessMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.LongSupplier;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.settings.EntryTimings;
import org.jackdawbeam.model.time.MonotonicClock;

/** Metrics of an entry. Their names follow the conventions of Prometheus. */
final class EntryMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final MonotonicClock clock;
    private final EntryTimings timings;
    private final Counter requests;
    private final Counter refusals;
    private final Counter attempts;
    private final Counter appends;
    private final Counter orders;
    private final Histogram eventSeconds;
    private final Gauge openRequests;
    private final Gauge version;
    private final Gauge epoch;
    private final Gauge lease;
    private final Gauge share;
    private final Gauge logOffset;

    EntryMetrics(MonotonicClock clock, EntryTimings timings) {
        this.clock = clock;
        this.timings = timings;
        ProcessMetrics.builder().register(registry);
        JvmMemoryMetrics.builder().register(registry);
        requests = counter("jackdawbeam_requests_total", "Requests that ended, by outcome.", "outcome");
        refusals =
                counter("jackdawbeam_refusals_total", "Refusals, by code and whether the request ran.", "code", "ran");
        attempts =
                counter("jackdawbeam_attempts_total", "Attempts that ended, by target and result.", "target", "result");
        appends = counter("jackdawbeam_log_appends_total", "Append calls to the log, by result.", "result");
        orders = counter("jackdawbeam_orders_total", "Orders to engines, by action.", "action");
        eventSeconds = Histogram.builder()
                .name("jackdawbeam_event_seconds")
                .help("Time that the reducer takes for an event, by type.")
                .labelNames("event")
                .register(registry);
        openRequests = gauge("jackdawbeam_open_requests", "Requests in flight.");
        version = gauge("jackdawbeam_bundle_version", "Version of the bundle in force.");
        epoch = gauge("jackdawbeam_membership_epoch", "Number of the membership epoch in force.");
        lease = gauge("jackdawbeam_lease_held", "One while this entry holds its lease.");
        share = gauge("jackdawbeam_share_ratio", "Share of every rate and burst that this entry may use.");
        logOffset = gauge("jackdawbeam_log_offset", "Offset of the next log record to be folded.");
    }

    void observePeerBytes(LongSupplier bytes) {
        CounterWithCallback.builder()
                .name("jackdawbeam_peer_sent_bytes_total")
                .help("Bytes sent to other entries.")
                .callback(callback -> callback.call(bytes.getAsLong()))
                .register(registry);
    }

    void recordEvent(String type, long nanos) {
        eventSeconds.labelValues(type).observe(nanos / NANOS_PER_SECOND);
    }

    void recordState(EntryState state) {
        openRequests.set(state.requests().byId().size());
        version.set(state.log().folded().version());
        epoch.set(state.membership().epochNumber());
        lease.set(state.membership().holdsLease(clock.nowMillis(), timings) ? 1 : 0);
        share.set(state.limits().share());
        logOffset.set(state.log().folded().nextOffset());
    }

    void recordCompletion() {
        requests.labelValues("completed").inc();
    }

    void recordReplay() {
        requests.labelValues("replayed").inc();
    }

    void recordRefusal(Refusal refusal) {
        requests.labelValues("refused").inc();
        refusals.labelValues(refusal.code().name(), refusal.ran().name()).inc();
    }

    void recordAttempt(String target, String result) {
        attempts.labelValues(target, result).inc();
    }

    void recordAppend(boolean accepted) {
        appends.labelValues(accepted ? "accepted" : "failed").inc();
    }

    void recordOrder(String action) {
        orders.labelValues(action).inc();
    }

    byte[] text() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(output, registry.scrape());
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.INTERNAL, "metrics cannot be written", e);
        }
        return output.toByteArray();
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Gauge gauge(String name, String help) {
        return Gauge.builder().name(name).help(help).register(registry);
    }
}
