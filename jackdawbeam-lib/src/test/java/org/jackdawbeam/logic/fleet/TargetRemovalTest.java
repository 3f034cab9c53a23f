package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Targets that are removed from the list, by an outage of the store or because they have left. */
class TargetRemovalTest {
    /** Time after the store's word within which a target must have got its last request. */
    private static final long DRAIN_MILLIS = 2_000;

    private static final long TRANSMISSION_MILLIS = 50;
    /** Registrations that have expired are renewed within this time after the store's return. */
    private static final long RENEWAL_MILLIS = 2_000;
    /** Time after the end of an outage from which the store counts as stable. */
    private static final long STABLE_AFTER_MILLIS = 3_000;
    /** Longest time for which the return of the store may go unnoticed: a read that gets no answer, and a pause. */
    private static final long UNNOTICED_MILLIS = 1_100;

    private static final long ANSWER_MILLIS = 10;
    private static final long SLOW_ANSWER_MILLIS = 800;
    private static final TargetDescription TARGET = FleetFixture.service("s1");

    private final FleetFixture fixture = FleetFixture.serving(TARGET, FleetFixture.service("s22"));
    private final List<Long> missingAt = new ArrayList<>();
    private final long start = fixture.nowMillis;

    static Stream<Arguments> outages() {
        return Stream.of(0, 100, 250, 400, 550, 700, 850, 1_000, 1_200)
                .flatMap(phase -> Stream.of(Arguments.of(4_000L + phase, false), Arguments.of(4_000L + phase, true)));
    }

    private StoreOutage outage(long lengthMillis, boolean refuses, long answerMillis) {
        return new StoreOutage(fixture, start + 5_000, start + 5_000 + lengthMillis, refuses, answerMillis);
    }

    private void recordMissing(long nowMillis) {
        if (!fixture.state.targets().containsKey(TARGET.id())) {
            missingAt.add(nowMillis);
        }
    }

    // Guards against a gap in service after an outage of the store.
    @ParameterizedTest
    @MethodSource("outages")
    void targetWhoseRegistrationExpiredInAnOutageServesUntilItIsRenewed(long lengthMillis, boolean refuses) {
        long returnedAt = start + 5_000 + lengthMillis;
        StoreOutage outage = outage(lengthMillis, refuses, ANSWER_MILLIS);
        outage.write(returnedAt - 400, new FeedEntry.TargetRemoved(TARGET.id()));
        long unnoticed = refuses ? 0 : UNNOTICED_MILLIS;
        long renewedAt = returnedAt
                + Math.min(RENEWAL_MILLIS, FleetTimings.REMOVALS_FINAL_AFTER - unnoticed)
                - FleetTimings.RENEWAL_READ_INTERVAL;
        outage.write(renewedAt, new FeedEntry.Target(TARGET));

        outage.run(returnedAt + 6_000, this::recordMissing);

        assertThat(missingAt).isEmpty();
    }

    @Test
    void targetRenewedTwoSecondsAfterTheReturnOfTheStoreServesWithoutAGap() {
        for (long phase = 0; phase <= 1_200; phase += 50) {
            TargetRemovalTest test = new TargetRemovalTest();
            long returnedAt = test.start + 9_000 + phase;
            StoreOutage outage = test.outage(4_000 + phase, false, ANSWER_MILLIS);
            outage.write(returnedAt - 400, new FeedEntry.TargetRemoved(TARGET.id()));
            outage.write(returnedAt + RENEWAL_MILLIS, new FeedEntry.Target(TARGET));

            outage.run(returnedAt + 6_000, test::recordMissing);

            assertThat(test.missingAt).as("outage of %s ms", 4_000 + phase).isEmpty();
        }
    }

    @ParameterizedTest
    @MethodSource("outages")
    void targetWhoseRegistrationIsNotRenewedIsGoneWhenTheStoreIsStable(long lengthMillis, boolean refuses) {
        long returnedAt = start + 5_000 + lengthMillis;
        StoreOutage outage = outage(lengthMillis, refuses, ANSWER_MILLIS);
        outage.write(returnedAt - 400, new FeedEntry.TargetRemoved(TARGET.id()));

        outage.run(returnedAt + STABLE_AFTER_MILLIS, now -> {});

        assertThat(fixture.state.targets()).doesNotContainKey(TARGET.id());
    }

    // Guards against requests to a target that has left after an outage.
    @ParameterizedTest
    @MethodSource("outages")
    void targetThatLeavesAfterAnOutageGetsNothingLaterThanItDrains(long lengthMillis, boolean refuses) {
        for (long after : List.of(RENEWAL_MILLIS, 2_600L, STABLE_AFTER_MILLIS + 50, 4_100L)) {
            assertGoneInTime(lengthMillis, refuses, after, ANSWER_MILLIS);
            assertGoneInTime(lengthMillis, refuses, after, SLOW_ANSWER_MILLIS);
        }
    }

    private static void assertGoneInTime(long lengthMillis, boolean refuses, long after, long answerMillis) {
        TargetRemovalTest test = new TargetRemovalTest();
        long removedAt = test.start + 5_000 + lengthMillis + after;
        StoreOutage outage = test.outage(lengthMillis, refuses, answerMillis);
        outage.write(removedAt, new FeedEntry.TargetRemoved(TARGET.id()));

        outage.run(removedAt + DRAIN_MILLIS - TRANSMISSION_MILLIS, now -> {});

        assertThat(test.fixture.state.targets())
                .as("removed %s ms after the return, answers take %s ms", after, answerMillis)
                .doesNotContainKey(TARGET.id());
    }

    // Guards against taking a store that has deleted old records for one that was away.
    @Test
    void targetIsGoneAtOnceAfterHistoryWasDeleted() {
        fixture.apply(new FleetEvent.FeedFailed(fixture.nowMillis, Feed.TARGETS, true));
        fixture.read(Feed.TARGETS, fixture.nowMillis, new FeedEntry.TargetRemoved(TARGET.id()));

        assertThat(fixture.state.targets()).doesNotContainKey(TARGET.id());
    }

    @Test
    void targetIsGoneAtOnceAfterASingleReadFailed() {
        StoreOutage outage = new StoreOutage(fixture, start + 3_010, start + 3_020, true, ANSWER_MILLIS);
        outage.write(start + 4_500, new FeedEntry.TargetRemoved(TARGET.id()));

        outage.run(start + 4_500 + FleetTimings.TARGETS_READ_INTERVAL + 100, now -> {});

        assertThat(fixture.state.targets()).doesNotContainKey(TARGET.id());
    }

    @Test
    void requestIsNotSentLaterThanItsTargetMayBeUsed() {
        StoreOutage outage = outage(4_000, true, ANSWER_MILLIS);
        outage.write(start + 8_000, new FeedEntry.TargetRemoved(TARGET.id()));
        outage.write(start + 8_000, new FeedEntry.TargetRemoved("s22"));
        outage.run(start + 9_500, now -> {});
        long goneAt = fixture.state.targets().get(TARGET.id()).goneAtMillis().orElseThrow();

        fixture.configure(FleetFixture.configuration(2, FleetFixture.KEY));
        fixture.call("read");

        assertThat(fixture.all(FleetEffect.StartAttempt.class))
                .singleElement()
                .matches(start -> start.sendUntilMillis() <= goneAt);
    }
}
