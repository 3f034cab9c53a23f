package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.logic.fleet.FleetState;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetMember;
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
                .contains("jackdawbeam_open_requests 0.0", "jackdawbeam_placement_duty 0.0");
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
