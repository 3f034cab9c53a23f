package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Covers a store that is restored from a backup that is some seconds old. */
class StoreEraFlowTest {
    private FleetFixture fixture;

    @BeforeEach
    void serve() {
        fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        fixture.apply(new FleetEvent.StoreEraSeen(fixture.nowMillis, 3));
    }

    private void restore() {
        fixture.nowMillis += 10;
        fixture.apply(new FleetEvent.StoreEraSeen(fixture.nowMillis, 4));
    }

    private void readNewest(Feed feed, long askedAt, FeedEntry... entries) {
        fixture.apply(
                new FleetEvent.FeedRead(fixture.nowMillis, feed, askedAt, true, List.of(entries), entries.length));
    }

    @Test
    void firstEraIsNotTreatedAsRestore() {
        assertThat(fixture.state.feed(Feed.CONFIGURATION).nextOffset()).isPresent();
        assertThat(fixture.all(FleetEffect.Note.class)).isEmpty();
    }

    @Test
    void restoreRereadsAllFeedsAndReannouncesMember() {
        restore();
        assertThat(fixture.only(FleetEffect.Note.class).event()).isEqualTo("store_era_changed");

        fixture.advance(500);

        for (Feed feed : Feed.values()) {
            assertThat(fixture.all(FleetEffect.ReadFeed.class))
                    .anyMatch(read -> read.feed() == feed && read.fromOffset().isEmpty());
        }
        assertThat(fixture.all(FleetEffect.Announce.class)).hasSize(1);
    }

    @Test
    void answerToReadSentBeforeRestoreIsIgnored() {
        long askedAt = fixture.nowMillis;
        restore();

        fixture.apply(new FleetEvent.FeedRead(fixture.nowMillis, Feed.TARGETS, askedAt, true, List.of(), 0));

        assertThat(fixture.state.targets()).containsKey("e1");
        assertThat(fixture.state.feed(Feed.TARGETS).nextOffset()).isEmpty();
    }

    @Test
    void appendSentBeforeRestoreGrantsNoLease() {
        long askedAt = fixture.nowMillis;
        restore();

        fixture.apply(
                new FleetEvent.LeadershipAppended(fixture.nowMillis, askedAt, new FleetEvent.AppendResult.Appended(7)));

        assertThat(LeadershipFlow.isLeader(fixture.state, fixture.nowMillis)).isFalse();
    }

    @Test
    void leaderResignsOnRestore() {
        fixture.acquireLeadership(4);
        assertThat(LeadershipFlow.isLeader(fixture.state, fixture.nowMillis)).isTrue();

        restore();

        assertThat(LeadershipFlow.isLeader(fixture.state, fixture.nowMillis)).isFalse();
    }

    @Test
    void emptyLeadershipLogAfterRestoreDoesNotAllowImmediateTakeover() {
        restore();
        fixture.advance(500);
        fixture.apply(new FleetEvent.LeadershipRead(fixture.nowMillis, 0, List.of(), 0));

        fixture.advance(500);

        assertThat(fixture.all(FleetEffect.AppendLeadership.class)).isEmpty();
    }

    @Test
    void fencingTokensIncreaseAcrossErasAlthoughOffsetsRestart() {
        StoreEra before = new StoreEra(OptionalLong.of(3), Long.MIN_VALUE, false);
        StoreEra after = new StoreEra(OptionalLong.of(4), 1_000, false);

        assertThat(after.fencingToken(0)).isGreaterThan(before.fencingToken(1_000_000));
        assertThat(after.issued(before.fencingToken(5))).isFalse();
        assertThat(StoreEra.unknown().fencingToken(4)).isEqualTo(5);
    }

    @Test
    void olderConfigurationIsIgnoredAndDoesNotCountAsFresh() {
        fixture.configure(FleetFixture.configuration(5, "other"));
        long fresh = fixture.state.feed(Feed.CONFIGURATION).freshAtMillis().getAsLong();
        restore();
        fixture.advance(1_000);

        readNewest(Feed.CONFIGURATION, fixture.nowMillis, new FeedEntry.Configuration(olderConfiguration()));

        assertThat(fixture.state.configuration().get().version()).isEqualTo(5);
        assertThat(fixture.state.feed(Feed.CONFIGURATION).freshAtMillis()).hasValue(fresh);
    }

    @Test
    void configurationIsFreshOnceNewerVersionIsRead() {
        fixture.configure(FleetFixture.configuration(5, "other"));
        restore();
        fixture.advance(1_000);
        readNewest(Feed.CONFIGURATION, fixture.nowMillis, new FeedEntry.Configuration(olderConfiguration()));
        long askedAt = fixture.nowMillis;

        fixture.apply(new FleetEvent.FeedRead(
                fixture.nowMillis,
                Feed.CONFIGURATION,
                askedAt,
                false,
                List.of(new FeedEntry.Configuration(FleetFixture.configuration(6, "newest"))),
                2));

        assertThat(fixture.state.configuration().get().version()).isEqualTo(6);
        assertThat(fixture.state.feed(Feed.CONFIGURATION).freshAtMillis()).hasValue(askedAt);
    }

    @Test
    void targetMissingAfterRestoreIsKeptForGracePeriod() {
        restore();
        fixture.advance(500);
        readNewest(Feed.TARGETS, fixture.nowMillis);
        assertThat(fixture.state.targets()).containsKey("e1");

        fixture.advanceWithStoreReads(2_000);

        assertThat(fixture.state.targets()).doesNotContainKey("e1");
    }

    @Test
    void leavingTargetStaysLeavingAfterRestore() {
        TargetDescription ready = FleetFixture.engine("e1", "m1");
        TargetDescription leaving = new TargetDescription(
                "e1", "engines", ready.address(), "zone-1", 64, true, Set.of("m1"), Set.of(), 7, 0);
        fixture.listTargets(leaving);
        restore();
        fixture.advance(500);

        readNewest(Feed.TARGETS, fixture.nowMillis, new FeedEntry.Target(ready));

        assertThat(fixture.state.targets().get("e1").isLeaving()).isTrue();
    }

    @Test
    void confirmationFromAnotherEraIsIgnored() {
        restore();
        fixture.receive(
                new FleetMessage.ConfigurationEnd("b", "a/1", fixture.nowMillis + 9_000, OptionalLong.of(3), 1));

        assertThat(FeedFlow.withdrawalsUpToDate(fixture.state, fixture.nowMillis + 9_000))
                .isFalse();
    }

    private static FleetConfiguration olderConfiguration() {
        return FleetFixture.configuration(2, FleetFixture.KEY);
    }
}
