package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.junit.jupiter.api.Test;

class LeadershipFlowTest {
    private static final long TAKEOVER_DELAY = 1_300 + 250;
    private final FleetFixture fixture = FleetFixture.serving();

    private void append(FleetEvent.AppendResult result) {
        fixture.apply(new FleetEvent.LeadershipAppended(fixture.nowMillis, fixture.nowMillis, result));
    }

    private void read(long from, List<String> holders, long end) {
        fixture.apply(new FleetEvent.LeadershipRead(fixture.nowMillis, from, holders, end));
    }

    private boolean isLeader() {
        return LeadershipFlow.isLeader(fixture.state, fixture.nowMillis);
    }

    @Test
    void firstEntryOfNewFleetAcquiresLeadershipImmediately() {
        read(0, List.of(), 0);

        fixture.advance(50);

        assertThat(fixture.only(FleetEffect.AppendLeadership.class).atOffset()).isZero();
    }

    @Test
    void leadershipIsNotAcquiredWhilePreviousLeaseMayBeValid() {
        read(0, List.of("b/1"), 5);

        fixture.advance(TAKEOVER_DELAY - 1);

        assertThat(fixture.all(FleetEffect.AppendLeadership.class)).isEmpty();
    }

    @Test
    void leadershipIsAcquiredAfterPreviousLeaseExpired() {
        read(0, List.of("b/1"), 5);

        fixture.advance(TAKEOVER_DELAY);

        assertThat(fixture.only(FleetEffect.AppendLeadership.class).atOffset()).isEqualTo(5);
    }

    @Test
    void successorWaitsLongerIfEnginesDoNotCheckTokens() {
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

        fixture.advance(TAKEOVER_DELAY + checked.leadershipGapMillis() - 1);

        assertThat(fixture.all(FleetEffect.AppendLeadership.class)).isEmpty();
    }

    @Test
    void fencingTokenIsHigherThanThatOfAnyEarlierLeader() {
        read(0, List.of("b/1"), 5);
        fixture.advance(TAKEOVER_DELAY);

        append(new FleetEvent.AppendResult.Appended(5));

        assertThat(fixture.state.leadership().fencingToken()).hasValue(6);
    }

    @Test
    void leaseStartsWhenTheAppendIsSent() {
        read(0, List.of(), 0);
        long askedAt = fixture.nowMillis;
        fixture.nowMillis += 1_000;
        fixture.apply(
                new FleetEvent.LeadershipAppended(fixture.nowMillis, askedAt, new FleetEvent.AppendResult.Appended(0)));
        assertThat(isLeader()).isTrue();

        fixture.nowMillis = askedAt + 1_300;

        assertThat(isLeader()).isFalse();
    }

    @Test
    void leaseExpiresDuringSuspensionBeforeAnyOrderIsSent() {
        fixture.acquireLeadership(1);

        fixture.advance(60_000);

        assertThat(fixture.all(FleetEffect.SendOrder.class)).isEmpty();
        assertThat(fixture.state.leadership().fencingToken()).isEmpty();
    }

    @Test
    void lostAnswerToOwnAppendDoesNotEndLeadership() {
        fixture.acquireLeadership(1);
        append(new FleetEvent.AppendResult.Unknown());
        append(new FleetEvent.AppendResult.Conflict(2));

        read(1, List.of(FleetFixture.SELF.incarnation()), 2);

        assertThat(isLeader()).isTrue();
        assertThat(fixture.state.leadership().observedEnd()).hasValue(2);
    }

    @Test
    void recordOfAnotherLeaderEndsLeadership() {
        fixture.acquireLeadership(1);
        append(new FleetEvent.AppendResult.Conflict(2));

        read(1, List.of("b/1"), 2);

        assertThat(isLeader()).isFalse();
    }

    @Test
    void stoppingEntryResignsLeadership() {
        fixture.acquireLeadership(1);

        fixture.apply(new FleetEvent.StopRequested(fixture.nowMillis));

        assertThat(isLeader()).isFalse();
    }
}
