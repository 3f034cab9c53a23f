package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.junit.jupiter.api.Test;

class FeedFlowTest {
    private final FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"));

    @Test
    void startingEntryReadsAllFeedsAndAnnouncesItself() {
        FleetFixture starting = new FleetFixture();

        starting.advance(0);

        assertThat(starting.all(FleetEffect.ReadFeed.class))
                .hasSize(Feed.values().length)
                .allMatch(read -> read.fromOffset().isEmpty());
        assertThat(starting.all(FleetEffect.Announce.class)).hasSize(1);
    }

    @Test
    void olderConfigurationIsIgnored() {
        fixture.configure(FleetFixture.configuration(7, FleetFixture.KEY));

        fixture.configure(FleetFixture.configuration(6, FleetFixture.KEY));

        assertThat(fixture.state.configuration().orElseThrow().version()).isEqualTo(7);
    }

    @Test
    void newestEntriesAreReadAgainAfterHistoryWasDeleted() {
        fixture.apply(new FleetEvent.FeedFailed(fixture.nowMillis, Feed.CONFIGURATION, true));

        fixture.advance(0);

        assertThat(fixture.all(FleetEffect.ReadFeed.class))
                .contains(new FleetEffect.ReadFeed(
                        Feed.CONFIGURATION, OptionalLong.empty(), FleetTimings.READER_CONFIGURATION_WAIT));
    }

    @Test
    void firstReadAfterOutageDoesNotWaitInTheStore() {
        fixture.apply(new FleetEvent.FeedFailed(fixture.nowMillis, Feed.CONFIGURATION, false));

        fixture.advance(500);

        assertThat(fixture.all(FleetEffect.ReadFeed.class))
                .filteredOn(read -> read.feed() == Feed.CONFIGURATION)
                .singleElement()
                .matches(read -> read.waitMillis() == 0);
    }

    @Test
    void removedTargetIsDropped() {
        fixture.read(Feed.TARGETS, fixture.nowMillis, new FeedEntry.TargetRemoved("e1"));

        assertThat(fixture.state.targets()).isEmpty();
    }

    @Test
    void targetMissingFromFullReadIsRemoved() {
        fixture.apply(new FleetEvent.FeedRead(
                fixture.nowMillis,
                Feed.TARGETS,
                fixture.nowMillis,
                true,
                List.of(new FeedEntry.Target(FleetFixture.engine("e22", "m1"))),
                9));

        assertThat(fixture.state.targets().keySet()).containsExactly("e22");
    }

    @Test
    void unreadableEntryIsLoggedAndIgnored() {
        FleetState before = fixture.state;

        fixture.read(Feed.TARGETS, fixture.nowMillis, new FeedEntry.Unreadable("e9", "not JSON"));

        assertThat(fixture.state.targets()).isEqualTo(before.targets());
        assertThat(fixture.only(FleetEffect.Note.class).fields()).contains("e9", "not JSON");
    }

    @Test
    void entryRemovedAsLostAnnouncesItselfAgain() {
        fixture.apply(new FleetEvent.AnnouncementEnded(fixture.nowMillis, true));

        fixture.read(Feed.MEMBERS, fixture.nowMillis, new FeedEntry.MemberRemoved(FleetFixture.SELF.id()));

        assertThat(fixture.all(FleetEffect.Announce.class)).hasSize(1);
    }

    @Test
    void restartedTargetStartsWithoutFormerAdapters() {
        fixture.state = fixture.state.with(fixture.state.targets().get("e1").withAdapters(Map.of("m1", Set.of("a1"))));
        var restarted = FleetFixture.engine("e1", "m1");

        fixture.listTargets(new TargetDescription(
                restarted.id(),
                restarted.service(),
                restarted.address(),
                restarted.zone(),
                restarted.slots(),
                false,
                restarted.models(),
                restarted.atHand(),
                restarted.startedAtMillis() + 1,
                0));

        assertThat(fixture.state.targets().get("e1").adapters()).isEmpty();
    }

    @Test
    void modelMarkedForUnloadingIsUsedAgainIfStillListed() {
        fixture.receiveHeartbeat("b");
        fixture.receive(new FleetMessage.Residency("b", "e1", 7, Set.of("m1"), Map.of(), Set.of("m1")));
        assertThat(fixture.state.targets().get("e1").holds("m1", Optional.empty()))
                .isFalse();

        fixture.advance(4_000);
        fixture.listTargets(FleetFixture.engine("e1", "m1"));

        assertThat(fixture.state.targets().get("e1").holds("m1", Optional.empty()))
                .isTrue();
    }
}
