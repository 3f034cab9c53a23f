package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.junit.jupiter.api.Test;

class LeadershipFlowTest {
    private static final long PAUSE_FOR_TAKEOVER = 1_300 + 250;
    private final FleetFixture fixture = FleetFixture.serving();

    private void append(FleetEvent.AppendResult result) {
        fixture.apply(new FleetEvent.LeadershipAppended(fixture.nowMillis, fixture.nowMillis, result));
    }

    private void read(long from, List<String> holders, long end) {
        fixture.apply(new FleetEvent.LeadershipRead(fixture.nowMillis, from, holders, end));
    }

    private boolean holds() {
        return LeadershipFlow.holds(fixture.state, fixture.nowMillis);
    }

    @Test
    void firstEntryOfANewFleetTakesTheDutyAtOnce() {
        read(0, List.of(), 0);

        fixture.advance(50);

        assertThat(fixture.only(FleetEffect.AppendLeadership.class).atOffset()).isZero();
    }

    @Test
    void dutyIsNotTakenWhileThePredecessorsLeaseMayLast() {
        read(0, List.of("b/1"), 5);

        fixture.advance(PAUSE_FOR_TAKEOVER - 1);

        assertThat(fixture.all(FleetEffect.AppendLeadership.class)).isEmpty();
    }

    @Test
    void dutyIsTakenAfterThePredecessorsLease() {
        read(0, List.of("b/1"), 5);

        fixture.advance(PAUSE_FOR_TAKEOVER);

        assertThat(fixture.only(FleetEffect.AppendLeadership.class).atOffset()).isEqualTo(5);
    }

    @Test
    void successorWaitsLongerWhereEnginesDoNotCheckTokens() {
        FleetBounds checked = FleetFixture.BOUNDS;
        fixture.apply(new FleetEvent.BoundsChanged(
                fixture.nowMillis,
                new FleetBounds(
                        checked.revokeMillis(),
                        false,
                        checked.leadershipGapMillis(),
                        checked.graceMillis(),
                        checked.retryRatio(),
                        checked.retrySlack(),
                        checked.retryWindowMillis(),
                        checked.loadWindowMillis(),
                        checked.directoryTtlSeconds())));
        read(0, List.of("b/1"), 5);

        fixture.advance(PAUSE_FOR_TAKEOVER + checked.leadershipGapMillis() - 1);

        assertThat(fixture.all(FleetEffect.AppendLeadership.class)).isEmpty();
    }

    @Test
    void tokenIsHigherThanThatOfAnyEarlierHolder() {
        read(0, List.of("b/1"), 5);
        fixture.advance(PAUSE_FOR_TAKEOVER);

        append(new FleetEvent.AppendResult.Appended(5));

        assertThat(fixture.state.leadership().fencingToken()).hasValue(6);
    }

    @Test
    void leaseCountsFromTheSendingOfTheAppend() {
        read(0, List.of(), 0);
        long askedAt = fixture.nowMillis;
        fixture.nowMillis += 1_000;
        fixture.apply(
                new FleetEvent.LeadershipAppended(fixture.nowMillis, askedAt, new FleetEvent.AppendResult.Appended(0)));
        assertThat(holds()).isTrue();

        fixture.nowMillis = askedAt + 1_300;

        assertThat(holds()).isFalse();
    }

    @Test
    void suspensionEndsTheLeaseBeforeAnyOrderIsSent() {
        fixture.takeDuty(1);

        fixture.advance(60_000);

        assertThat(fixture.all(FleetEffect.SendOrder.class)).isEmpty();
        assertThat(fixture.state.leadership().fencingToken()).isEmpty();
    }

    @Test
    void ownAppendWhoseAnswerWasLostDoesNotEndTheDuty() {
        fixture.takeDuty(1);
        append(new FleetEvent.AppendResult.Unknown());
        append(new FleetEvent.AppendResult.Conflict(2));

        read(1, List.of(FleetFixture.SELF.incarnation()), 2);

        assertThat(holds()).isTrue();
        assertThat(fixture.state.leadership().observedEnd()).hasValue(2);
    }

    @Test
    void recordOfAnotherHolderEndsTheDuty() {
        fixture.takeDuty(1);
        append(new FleetEvent.AppendResult.Conflict(2));

        read(1, List.of("b/1"), 2);

        assertThat(holds()).isFalse();
    }

    @Test
    void stoppingEntryGivesTheDutyUp() {
        fixture.takeDuty(1);

        fixture.apply(new FleetEvent.StopRequested(fixture.nowMillis));

        assertThat(holds()).isFalse();
    }
}
