package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.logic.fleet.FleetEffect.StartAttempt;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.FleetState;
import org.jackdawbeam.logic.fleet.RequestTraits;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.fleet.TargetStatement;
import org.jackdawbeam.model.request.AttemptId;
import org.junit.jupiter.api.Test;

class FleetMetricsTest {
    private static final FleetMember SELF = new FleetMember("a", "a/1", "zone-1", "a:1", "a:2", 100);
    private static final FleetBounds BOUNDS = new FleetBounds(5_000, true, 3_000, 8_000, 0.2, 56, 10_000, 5_000, 5);

    private final FleetMetrics metrics = new FleetMetrics(new PrometheusRegistry());
    private final FleetState state = FleetState.initial(SELF, BOUNDS);

    @Test
    void gaugesReflectTheState() {
        metrics.onEvent(state, new FleetEvent.Ticked(1));

        assertThat(new String(metrics.text(), StandardCharsets.UTF_8))
                .contains(
                        "jackdawbeam_open_requests 0.0",
                        "jackdawbeam_placement_duty 0.0",
                        "jackdawbeam_evacuated_zones 0.0");
    }

    @Test
    void pausesOfAnswersAndTheirFirstBytesAreCounted() {
        AttemptId attempt = new AttemptId(1, 1);
        StartAttempt start = new StartAttempt(
                attempt,
                "request-1",
                new TargetDescription("t", "s", "127.0.0.1:1", "z", 4, false, Set.of(), Set.of(), 1, 0),
                10_000,
                10_000,
                Optional.empty(),
                0,
                false,
                10,
                100,
                0,
                new RequestTraits("r", "-", "m", "-", 100, 10, 600, List.of()));
        metrics.onEffect(state, new FleetEvent.Ticked(1_000), start);
        metrics.onEvent(
                state, new FleetEvent.AttemptAnswered(1_010, attempt, 200, false, true, TargetStatement.empty()));
        metrics.onEvent(state, new FleetEvent.AttemptStreaming(1_250, attempt));
        metrics.onEvent(state, new FleetEvent.AttemptCompleted(5_000, attempt, 700));

        assertThat(new String(metrics.text(), StandardCharsets.UTF_8))
                .contains(
                        "jackdawbeam_answer_seconds_sum 0.01",
                        "jackdawbeam_first_body_seconds_sum 0.25",
                        "jackdawbeam_estimate_error_seconds_sum 0.24",
                        "jackdawbeam_longest_pause_seconds_sum 0.7");
    }

    /** A thread that wakes up on each change of a metric would use more CPU than the rest of an idle entry. */
    @Test
    void updatingMetricsStartsNoThread() throws InterruptedException {
        metrics.onEvent(state, new FleetEvent.Ticked(1));
        Thread.sleep(100);
        metrics.onEvent(state, new FleetEvent.Ticked(2));

        assertThat(Thread.getAllStackTraces().keySet())
                .extracting(Thread::getName)
                .noneMatch(name -> name.contains("prometheus"));
    }
}
