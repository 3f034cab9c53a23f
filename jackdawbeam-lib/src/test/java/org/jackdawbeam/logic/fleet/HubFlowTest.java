package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.fleet.TargetStatement;
import org.junit.jupiter.api.Test;

class HubFlowTest {
    private static final int MEMBERS = 30;
    private static final String HUB = "m29";
    private static final long TICK_MILLIS = 50;
    /** Time within which a change must be known, less that for an answer of the store. */
    private static final long CHANGES_KNOWN_MILLIS = 1_700;

    private final FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"));

    HubFlowTest() {
        for (int number = 0; number < MEMBERS; number++) {
            fixture.read(Feed.MEMBERS, fixture.nowMillis, new FeedEntry.Member(member(number)));
        }
        fixture.advance(FleetTimings.GROUP_HEARTBEAT_INTERVAL);
    }

    /** Returns a member of the entry's zone; higher numbers have faster links. */
    private static FleetMember member(int number) {
        String id = "m" + number;
        return new FleetMember(id, id + "/1", "zone-1", id + ":1", id + ":2", 101 + number);
    }

    private void bulletin(String sender, List<TargetWork> work) {
        fixture.receive(new FleetMessage.Bulletin(sender, Set.of(), List.of(), work, List.of(), Optional.empty()));
    }

    private List<String> heartbeatReceivers() {
        return fixture.all(FleetEffect.SendPeerMessage.class).stream()
                .filter(sent -> sent.message() instanceof FleetMessage.Digest)
                .map(FleetEffect.SendPeerMessage::address)
                .toList();
    }

    private boolean readsFromStore(Feed feed) {
        return fixture.all(FleetEffect.ReadFeed.class).stream().anyMatch(read -> read.feed() == feed);
    }

    @Test
    void entryReportsOnlyToHostWithFastestLinkInItsZone() {
        assertThat(heartbeatReceivers()).containsExactly(HUB + ":1");
    }

    @Test
    void silentHubIsReplaced() {
        for (int interval = 0; interval < 5; interval++) {
            fixture.advance(FleetTimings.GROUP_HEARTBEAT_INTERVAL);
        }

        assertThat(heartbeatReceivers()).containsExactly("m28:1");
    }

    // Guards against entries that learn of changes too late while one hub candidate after the other is gone.
    @Test
    void entryWithoutAHubReadsTargetsAndConfigurationInTime() {
        Map<Feed, Long> readAt =
                new EnumMap<>(Map.of(Feed.TARGETS, fixture.nowMillis, Feed.CONFIGURATION, fixture.nowMillis));
        readAt.keySet().forEach(feed -> fixture.read(feed, fixture.nowMillis));
        long longest = 0;
        for (long passed = 0; passed < 10_000; passed += TICK_MILLIS) {
            fixture.advance(TICK_MILLIS);
            Deque<FleetEffect.ReadFeed> reads = new ArrayDeque<>(fixture.all(FleetEffect.ReadFeed.class));
            while (!reads.isEmpty()) {
                Feed feed = reads.remove().feed();
                Long before = readAt.replace(feed, fixture.nowMillis);
                longest = before == null ? longest : Math.max(longest, fixture.nowMillis - before);
                fixture.read(feed, fixture.nowMillis);
                reads.addAll(fixture.all(FleetEffect.ReadFeed.class));
            }
        }

        assertThat(longest).as("longest time between reads").isBetween(1L, CHANGES_KNOWN_MILLIS);
        assertThat(readAt.values()).allMatch(last -> fixture.nowMillis - last <= CHANGES_KNOWN_MILLIS);
    }

    @Test
    void respondingHubIsKept() {
        for (int interval = 0; interval < 5; interval++) {
            bulletin(HUB, List.of());
            fixture.advance(FleetTimings.GROUP_HEARTBEAT_INTERVAL);
        }

        assertThat(heartbeatReceivers()).containsExactly(HUB + ":1");
    }

    @Test
    void configurationIsFreshAsOfHeartbeatThatHubHadBeforeItsRead() {
        fixture.nowMillis += 5_000;
        fixture.receive(
                new FleetMessage.ConfigurationEnd(HUB, "a/1", fixture.nowMillis - 400, OptionalLong.empty(), 1));

        assertThat(FeedFlow.withdrawalsUpToDate(fixture.state, fixture.nowMillis))
                .isTrue();
        assertThat(FeedFlow.withdrawalsUpToDate(fixture.state, fixture.nowMillis + 4_000))
                .isFalse();
    }

    @Test
    void entryThatIsBehindReadsTheConfigurationItself() {
        fixture.apply(new FleetEvent.FeedFailed(fixture.nowMillis, Feed.CONFIGURATION, false));
        fixture.receive(new FleetMessage.ConfigurationEnd(HUB, "a/1", fixture.nowMillis, OptionalLong.empty(), 9));

        fixture.advance(200);

        assertThat(readsFromStore(Feed.CONFIGURATION)).isTrue();
    }

    @Test
    void targetUpdatesFromHubAreAppliedWithoutReadingTheStore() {
        fixture.receive(new FleetMessage.FeedNews(
                HUB,
                Feed.TARGETS,
                OptionalLong.empty(),
                1,
                List.of(new FeedEntry.Target(FleetFixture.engine("e22", "m1"))),
                2));

        assertThat(fixture.state.targets()).containsKey("e22");
    }

    private void targetRemovedByTheHub() {
        fixture.receive(new FleetMessage.FeedNews(
                HUB, Feed.TARGETS, OptionalLong.empty(), 1, List.of(new FeedEntry.TargetRemoved("e1")), 2));
    }

    // Guards against a gap in service of a large fleet after an outage of the store.
    @Test
    void targetRemovedByTheHubAfterAnOutageMayBeRenewed() {
        fixture.read(Feed.CONFIGURATION, fixture.nowMillis);
        fixture.advance(FleetTimings.DIRECT_READ_AGE + FleetTimings.GROUP_HEARTBEAT_INTERVAL);
        assertThat(readsFromStore(Feed.CONFIGURATION)).isTrue();
        fixture.advance(900);
        fixture.apply(new FleetEvent.FeedFailed(fixture.nowMillis, Feed.CONFIGURATION, false));

        targetRemovedByTheHub();
        assertThat(fixture.state.targets()).containsKey("e1");

        fixture.advance(FleetTimings.REMOVALS_FINAL_AFTER);
        assertThat(fixture.state.targets()).doesNotContainKey("e1");
    }

    @Test
    void targetRemovedByTheHubWithoutAnOutageIsGone() {
        fixture.read(Feed.CONFIGURATION, fixture.nowMillis);

        targetRemovedByTheHub();

        assertThat(fixture.state.targets()).doesNotContainKey("e1");
    }

    @Test
    void updatesAfterAGapAreNotApplied() {
        fixture.receive(new FleetMessage.FeedNews(
                HUB, Feed.TARGETS, OptionalLong.empty(), 7, List.of(new FeedEntry.TargetRemoved("e1")), 8));

        assertThat(fixture.state.targets()).containsKey("e1");
        assertThat(fixture.state.feed(Feed.TARGETS).freshAtMillis()).isEmpty();
    }

    @Test
    void hubSendsBulletinsToItsGroup() {
        FleetMember reporter = member(3);
        fixture.receive(new FleetMessage.Digest(
                "m3", reporter, 77, true, false, Optional.empty(), List.of(), List.of(), Optional.empty()));

        fixture.advance(FleetTimings.GROUP_HEARTBEAT_INTERVAL);

        assertThat(fixture.all(FleetEffect.SendPeerMessage.class))
                .anyMatch(sent -> sent.address().equals("m3:1")
                        && sent.message() instanceof FleetMessage.Bulletin bulletin
                        && bulletin.changed().size() == 2);
    }

    @Test
    void hubConfirmsOnlyHeartbeatsReceivedBeforeItsRead() {
        long askedAt = fixture.nowMillis;
        fixture.nowMillis += 10;
        fixture.receive(new FleetMessage.Digest(
                "m3", member(3), 77, true, false, Optional.empty(), List.of(), List.of(), Optional.empty()));

        fixture.read(Feed.CONFIGURATION, askedAt);
        assertThat(fixture.all(FleetEffect.SendPeerMessage.class)).isEmpty();
        fixture.read(Feed.CONFIGURATION, fixture.nowMillis);

        assertThat(fixture.all(FleetEffect.SendPeerMessage.class))
                .extracting(FleetEffect.SendPeerMessage::message)
                .containsExactly(
                        new FleetMessage.ConfigurationEnd("a", member(3).incarnation(), 77, OptionalLong.empty(), 1));
    }

    @Test
    void routingConsidersLoadOfTheWholeFleet() {
        fixture.listTargets(FleetFixture.engine("e1", "m1"), FleetFixture.engine("e22", "m1"));
        bulletin(HUB, List.of(new TargetWork("e1", 9, 50_000, Set.of())));

        fixture.chat("chat", "m1");

        boolean sentToOtherEngine = fixture.all(FleetEffect.StartAttempt.class).stream()
                .allMatch(start -> start.target().id().equals("e22"));
        assertThat(sentToOtherEngine).isTrue();
    }

    private List<FeedEntry> relayedEntries() {
        return fixture.all(FleetEffect.SendPeerMessage.class).stream()
                .filter(sent -> sent.address().equals("m3:1"))
                .map(FleetEffect.SendPeerMessage::message)
                .filter(FleetMessage.FeedNews.class::isInstance)
                .map(message -> ((FleetMessage.FeedNews) message).entries())
                .findFirst()
                .orElseThrow();
    }

    private static TargetDescription engineWithOrderCount(String id, long orderCount) {
        return new TargetDescription(
                id, "engines", "10.0.0.1:1", "zone-1", 64, false, Set.of("m1"), Set.of(), 7, orderCount);
    }

    @Test
    void hubRelaysChangedTargetsOnly() {
        fixture.receive(new FleetMessage.Digest(
                "m3", member(3), 77, true, false, Optional.empty(), List.of(), List.of(), Optional.empty()));
        fixture.listTargets(engineWithOrderCount("e1", 1), engineWithOrderCount("e2", 1));
        FeedEntry leaving = new FeedEntry.Target(
                new TargetDescription("e2", "engines", "10.0.0.1:1", "zone-1", 64, true, Set.of("m1"), Set.of(), 7, 1));

        fixture.read(Feed.TARGETS, fixture.nowMillis, new FeedEntry.Target(engineWithOrderCount("e1", 2)), leaving);

        assertThat(relayedEntries()).containsExactly(leaving);
    }

    @Test
    void hubRelaysAllTargetsPeriodically() {
        fixture.receive(new FleetMessage.Digest(
                "m3", member(3), 77, true, false, Optional.empty(), List.of(), List.of(), Optional.empty()));
        fixture.listTargets(engineWithOrderCount("e1", 1));
        fixture.nowMillis += 3_000;

        fixture.read(Feed.TARGETS, fixture.nowMillis, new FeedEntry.Target(engineWithOrderCount("e1", 2)));

        assertThat(relayedEntries()).hasSize(1);
    }

    @Test
    void leavingEngineIsReportedToTheHubOnly() {
        fixture.chat("chat", "m1");
        var attempt = fixture.only(FleetEffect.StartAttempt.class).attempt();

        fixture.apply(new FleetEvent.AttemptAnswered(
                fixture.nowMillis,
                attempt,
                200,
                false,
                true,
                new TargetStatement(Optional.empty(), true, OptionalLong.empty(), OptionalDouble.empty())));

        assertThat(fixture.all(FleetEffect.SendPeerMessage.class))
                .extracting(FleetEffect.SendPeerMessage::address)
                .containsExactly(HUB + ":1");
    }

    @Test
    void hubRelaysLeavingTargetOnce() {
        for (String reporter : List.of("m1", "m2")) {
            FleetMember member = member(Integer.parseInt(reporter.substring(1)));
            fixture.receive(new FleetMessage.Digest(
                    reporter, member, 0, true, false, Optional.empty(), List.of(), List.of(), Optional.empty()));
        }
        FleetMessage notice = new FleetMessage.TargetLeaving("m1", "e1", 7);

        fixture.receive(notice);

        assertThat(fixture.all(FleetEffect.SendPeerMessage.class))
                .extracting(FleetEffect.SendPeerMessage::address)
                .contains("m2:1")
                .doesNotContain("m1:1");
        fixture.receive(notice);
        assertThat(fixture.all(FleetEffect.SendPeerMessage.class)).isEmpty();
    }
}
