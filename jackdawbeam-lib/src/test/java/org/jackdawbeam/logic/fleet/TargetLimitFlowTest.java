package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests of all entries together at a target that limits them. */
class TargetLimitFlowTest {
    private static final long WINDOW_MILLIS = 4_000;
    private static final long LEARNING_MILLIS = 3_000;
    private static final double TOLERANCE = 1.5;
    private static final int SLACK = 5;

    private static double allowed(double limit) {
        return TOLERANCE * limit * WINDOW_MILLIS / 1_000 + SLACK;
    }

    // Guards against entries that each send as many requests as a target accepts from all of them together.
    @ParameterizedTest
    @CsvSource({"8, 1.1", "8, 1.2", "8, 0.001", "8, 6", "16, 1.1", "3, 0.4", "20, 2.5"})
    void allEntriesTogetherKeepTheLimitOfATarget(int hosts, double limit) {
        LimitedFleet fleet = new LimitedFleet(hosts, 3);
        fleet.run(2_000, 200, "read");
        fleet.limit = OptionalDouble.of(limit);
        long named = fleet.nowMillis;

        fleet.run(15_000, 200, "read");

        assertThat((double) fleet.most(named + LEARNING_MILLIS, WINDOW_MILLIS)).isLessThanOrEqualTo(allowed(limit));
    }

    // Guards against a limited target that is avoided altogether.
    @ParameterizedTest
    @CsvSource({"8, 2", "20, 5"})
    void halfOfTheLimitIsUsedAtLeast(int hosts, double limit) {
        LimitedFleet fleet = new LimitedFleet(hosts, 3);
        fleet.run(2_000, 200, "read");
        fleet.limit = OptionalDouble.of(limit);
        fleet.run(2_000, 200, "read");
        fleet.arrivals.clear();

        fleet.run(10_000, 200, "read");

        assertThat((double) fleet.arrivals.size()).isGreaterThan(limit * 10 / 2);
        assertThat(fleet.refusals).isEmpty();
    }

    // Guards against a limit that stays in force after the target has stopped to state it.
    @Test
    void targetIsUsedFullyAgainWhenItStatesNoLimitAnyMore() {
        LimitedFleet fleet = new LimitedFleet(8, 3);
        fleet.limit = OptionalDouble.of(0);
        fleet.run(4_000, 200, "read");
        fleet.limit = OptionalDouble.empty();
        fleet.run(13_000, 200, "read");
        fleet.arrivals.clear();

        fleet.run(2_000, 200, "read");

        assertThat(fleet.arrivals).hasSizeGreaterThan(20);
    }

    // Guards against callers that wait for a target that cannot serve them, and that all come back at once.
    @Test
    void requestsBeyondTheLimitsOfAllTargetsAreRefusedAtOnce() {
        LimitedFleet fleet = new LimitedFleet(8, 1);
        fleet.limit = OptionalDouble.of(1);
        fleet.run(5_000, 200, "read");

        fleet.refusals.clear();
        fleet.run(2_000, 200, "read");

        assertThat(fleet.refusals)
                .hasSizeGreaterThan(40)
                .allSatisfy(refused -> assertThat(refused.refusal().ran()).isEqualTo(ExecutionStatus.NO));
        assertThat(fleet.refusals.stream()
                        .map(refused -> refused.refusal().retryAfterMillis())
                        .distinct())
                .hasSizeGreaterThan(10);
    }

    // Guards against a limit that outlives the start of the target that stated it.
    @Test
    void limitEndsWithTheStartOfTheTarget() {
        FleetFixture fixture = FleetFixture.serving(FleetFixture.service("s"));
        fixture.receive(new FleetMessage.TargetLimited("b", "s", 7, OptionalDouble.of(1)));
        assertThat(fixture.state.targets().get("s").limit()).isPresent();

        fixture.listTargets(FleetFixture.startedAt(8, FleetFixture.service("s")));
        fixture.receive(new FleetMessage.TargetLimited("b", "s", 7, OptionalDouble.of(1)));

        assertThat(fixture.state.targets().get("s").limit()).isEmpty();
    }

    // Guards against a model that is served by a limited engine alone.
    @Test
    void modelOfALimitedEngineIsLoadedElsewhere() {
        FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"), FleetFixture.engine("e22", "m2"));
        fixture.acquireLeadership(4);
        fixture.report("e1", 3, Set.of("m1"), Map.of());
        fixture.report("e22", 3, Set.of("m2"), Map.of());
        fixture.advanceWithStoreReads(500);
        fixture.renewLeadership();
        fixture.receive(new FleetMessage.TargetLimited("b", "e1", 7, OptionalDouble.of(0.1)));

        fixture.chat("chat", "m1");
        fixture.advance(200);

        EngineOrder order = fixture.only(FleetEffect.SendOrder.class).order();
        assertThat(order.target()).isEqualTo("e22");
        assertThat(order.model()).isEqualTo("m1");
    }
}
