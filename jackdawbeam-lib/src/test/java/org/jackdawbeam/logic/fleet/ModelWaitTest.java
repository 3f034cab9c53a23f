package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.log.OrderAction;
import org.jackdawbeam.model.request.AttemptId;
import org.junit.jupiter.api.Test;

/** How long requests for a model wait while the engines hold models that are used more. */
class ModelWaitTest {
    private static final long SHORTEST_DEADLINE_MILLIS = 4_000;
    private static final long WARM_UP_MILLIS = 5_000;

    private final FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1", "m2"));
    private final List<AttemptId> running = new ArrayList<>();
    private boolean roomMade;

    private void apply(FleetEvent event) {
        fixture.apply(event);
        collect();
    }

    private void collect() {
        fixture.all(FleetEffect.StartAttempt.class).forEach(start -> running.add(start.attempt()));
        roomMade |= fixture.all(FleetEffect.SendOrder.class).stream()
                .anyMatch(sent -> sent.order().action() == OrderAction.UNLOAD_MODEL);
    }

    private void run(long millis, boolean requestsForRareModel) {
        for (long passed = 0; passed < millis; passed += 50) {
            fixture.nowMillis += 50;
            fixture.read(Feed.CONFIGURATION, fixture.nowMillis);
            collect();
            fixture.renewLeadership();
            apply(new FleetEvent.Ticked(fixture.nowMillis));
            if (passed % 200 == 0) {
                List<AttemptId> ended = List.copyOf(running);
                running.clear();
                ended.forEach(attempt -> apply(new FleetEvent.AttemptCompleted(fixture.nowMillis, attempt, 0)));
                request("m1");
                request("m2");
            }
            if (requestsForRareModel && passed % 1_500 == 0) {
                request("m3");
            }
        }
    }

    private void request(String model) {
        fixture.chat("chat", model);
        collect();
    }

    // Guards against a model that is never served because each model on the engines is used more.
    @Test
    void roomIsMadeForAModelThatRequestsWaitForWithinADeadline() {
        fixture.configure(FleetFixture.generousConfiguration(2));
        fixture.acquireLeadership(4);
        fixture.report("e1", 3, Set.of("m1", "m2"), Map.of());
        run(WARM_UP_MILLIS, false);

        run(SHORTEST_DEADLINE_MILLIS, true);

        assertThat(roomMade).isTrue();
    }
}
