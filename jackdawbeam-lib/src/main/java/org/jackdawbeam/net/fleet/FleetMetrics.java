package org.jackdawbeam.net.fleet;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.jackdawbeam.logic.fleet.FleetEffect;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.FleetState;
import org.jackdawbeam.logic.store.StoreCall;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.net.log.BoundedConsoleWriter;

/** Prometheus metrics of an entry. Must be used on the loop's thread. */
public final class FleetMetrics implements FleetObserver {
    /** Content type of the Prometheus text format. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double[] LATENCY_SECONDS = {0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 4};

    private final PrometheusRegistry registry;
    private final Counter arrivals;
    private final Counter refusals;
    private final Counter attempts;
    private final Counter storeReads;
    private final Counter storeCalls;
    private final Counter orders;
    private final Counter brokenAnswers;
    private final Histogram answerSeconds;
    private final Histogram firstBodySeconds;
    private final Histogram estimateErrorSeconds;
    private final Histogram longestPauseSeconds;
    private final Gauge openRequests;
    private final Gauge configurationVersion;
    private final Gauge placementDuty;
    private final Gauge peers;
    private final Gauge quarantinedParts;
    private final Gauge quarantinedRequests;
    private final Gauge limitedTargets;
    private final Gauge evacuatedZones;
    private final Gauge coldTargets;
    private final Gauge suspectedLosses;
    private final Gauge waitingModels;
    private final Gauge longestModelWait;
    private final Gauge droppedLogLines;
    private final Map<AttemptId, Started> startedAt = new HashMap<>();

    public FleetMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        this.arrivals = counter("jackdawbeam_requests_total", "Requests of callers.");
        this.refusals = counter("jackdawbeam_refusals_total", "Requests answered negatively.", "code");
        this.attempts = counter("jackdawbeam_attempts_total", "Attempts at targets by result.", "result");
        this.storeReads = counter("jackdawbeam_store_reads_total", "Reads of the store.", "feed", "result");
        this.storeCalls = counter("jackdawbeam_store_calls_total", "Calls to the store.", "topic", "reason");
        this.orders = counter("jackdawbeam_orders_total", "Orders to engines by response.", "action", "response");
        this.brokenAnswers = counter("jackdawbeam_broken_answers_total", "Answers that ended before they were whole.");
        this.answerSeconds = histogram(
                "jackdawbeam_answer_seconds", "Time from sending a request to a target until the head of its answer.");
        this.firstBodySeconds = histogram(
                "jackdawbeam_first_body_seconds",
                "Time from sending a request to a target until the first bytes of the answer's body.");
        this.estimateErrorSeconds = histogram(
                "jackdawbeam_estimate_error_seconds",
                "Difference between the expected and the observed time to the first bytes of the answer's body.");
        this.longestPauseSeconds = histogram(
                "jackdawbeam_longest_pause_seconds", "Longest time between two parts of the body of a whole answer.");
        this.openRequests = gauge("jackdawbeam_open_requests", "Requests that have not ended.");
        this.configurationVersion = gauge("jackdawbeam_configuration_version", "Version in force.");
        this.placementDuty = gauge("jackdawbeam_placement_duty", "1 while this entry gives orders to engines.");
        this.peers = gauge("jackdawbeam_peers", "Other entries that are known.");
        this.quarantinedParts =
                gauge("jackdawbeam_quarantined_parts", "Groups of prompt parts that are not sent to engines.");
        this.quarantinedRequests =
                gauge("jackdawbeam_quarantined_requests", "Requests that are not sent to engines or services.");
        this.limitedTargets = gauge("jackdawbeam_limited_targets", "Targets that limit the requests of all entries.");
        this.evacuatedZones = gauge("jackdawbeam_evacuated_zones", "Availability zones whose targets get no requests.");
        this.coldTargets = gauge("jackdawbeam_cold_targets", "Targets that are taken to be cold.");
        this.suspectedLosses = gauge(
                "jackdawbeam_suspected_losses", "Recent losses of engines under requests that waited for answers.");
        this.waitingModels =
                gauge("jackdawbeam_waiting_models", "Models that callers of this entry ask for and no engine holds.");
        this.longestModelWait = gauge(
                "jackdawbeam_longest_model_wait_seconds", "Time since the first of them was asked for, 0 if none is.");
        this.droppedLogLines = gauge("jackdawbeam_log_lines_left_out", "Log lines that were not written.");
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] text() {
        droppedLogLines.set(BoundedConsoleWriter.droppedLines());
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(output, registry.scrape());
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.INTERNAL, "metrics cannot be written", e);
        }
        return output.toByteArray();
    }

    @Override
    public void onEvent(FleetState state, FleetEvent event) {
        switch (event) {
            case FleetEvent.RequestArrived arrived -> arrivals.inc();
            case FleetEvent.FeedRead read ->
                storeReads.labelValues(read.feed().name(), "answered").inc();
            case FleetEvent.FeedFailed failed ->
                storeReads.labelValues(failed.feed().name(), "failed").inc();
            case FleetEvent.AttemptAnswered answered -> onAnswered(answered);
            case FleetEvent.AttemptStreaming streaming -> onStreaming(streaming);
            case FleetEvent.AttemptCompleted completed -> {
                startedAt.remove(completed.attempt());
                longestPauseSeconds.observe(completed.longestPauseMillis() / MILLIS_PER_SECOND);
            }
            case FleetEvent.AttemptFailed failed -> {
                startedAt.remove(failed.attempt());
                attempts.labelValues(failed.failure().name()).inc();
            }
            case FleetEvent.OrderAnswered answered ->
                orders.labelValues(
                                answered.order().action().name(),
                                answered.response().name())
                        .inc();
            case FleetEvent.Ticked ticked -> {
                openRequests.set(state.requests().size());
                state.configuration().ifPresent(known -> configurationVersion.set(known.version()));
                placementDuty.set(state.leadership().fencingToken().isPresent() ? 1 : 0);
                peers.set(state.peers().size());
                quarantinedParts.set(state.quarantine().activeGroups().size());
                quarantinedRequests.set(state.requestQuarantine().activeGroups().size());
                limitedTargets.set(state.targets().values().stream()
                        .filter(target -> target.limit().isPresent())
                        .count());
                evacuatedZones.set(state.evacuations().byZone().size());
                coldTargets.set(state.targets().values().stream()
                        .filter(target -> target.cold().isPresent())
                        .count());
                suspectedLosses.set(state.requestQuarantine().losses().size());
                waitingModels.set(state.modelWaits().byModel().size());
                longestModelWait.set(state.modelWaits().longestMillis(ticked.nowMillis()) / MILLIS_PER_SECOND);
            }
            default -> {
                // Other events are counted through their effects.
            }
        }
    }

    @Override
    public void onEffect(FleetState state, FleetEvent cause, FleetEffect effect) {
        StoreCall.of(effect)
                .ifPresent(call -> storeCalls
                        .labelValues(call.topic(), call.reason().name().toLowerCase(Locale.ROOT))
                        .inc());
        switch (effect) {
            case FleetEffect.StartAttempt start ->
                startedAt.put(start.attempt(), new Started(cause.nowMillis(), start.estimateMillis()));
            case FleetEffect.CancelAttempt cancel -> startedAt.remove(cancel.attempt());
            case FleetEffect.RefuseRequest refuse ->
                refusals.labelValues(refuse.refusal().code().name()).inc();
            case FleetEffect.BreakAnswer broken -> brokenAnswers.inc();
            default -> {
                // Other effects are counted through the events that report their results.
            }
        }
    }

    @Override
    public void onFailure(FleetEvent event, Throwable failure) {
        attempts.labelValues("INTERNAL_FAILURE").inc();
    }

    private void onAnswered(FleetEvent.AttemptAnswered answered) {
        Started started = startedAt.get(answered.attempt());
        if (started != null) {
            answerSeconds.observe((answered.nowMillis() - started.atMillis()) / MILLIS_PER_SECOND);
        }
        attempts.labelValues("STATUS_" + answered.status()).inc();
    }

    private void onStreaming(FleetEvent.AttemptStreaming streaming) {
        Started started = startedAt.remove(streaming.attempt());
        if (started != null) {
            long millis = streaming.nowMillis() - started.atMillis();
            firstBodySeconds.observe(millis / MILLIS_PER_SECOND);
            estimateErrorSeconds.observe(Math.abs(millis - started.estimateMillis()) / MILLIS_PER_SECOND);
        }
    }

    private record Started(long atMillis, long estimateMillis) {}

    private Histogram histogram(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(LATENCY_SECONDS)
                .withoutExemplars()
                .register(registry);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder()
                .name(name)
                .help(help)
                .labelNames(labels)
                .withoutExemplars()
                .register(registry);
    }

    private Gauge gauge(String name, String help) {
        return Gauge.builder().name(name).help(help).withoutExemplars().register(registry);
    }
}
