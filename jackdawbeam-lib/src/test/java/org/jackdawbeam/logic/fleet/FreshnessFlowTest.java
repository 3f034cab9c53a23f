package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Covers a store that becomes unreachable for all or some entries while requests with keys keep arriving. */
class FreshnessFlowTest {
    private FleetFixture fixture;

    @BeforeEach
    void serve() {
        fixture = FleetFixture.serving(FleetFixture.service("s1"));
    }

    private void heartbeat(FleetMember member, long stampMillis) {
        fixture.receive(new FleetMessage.Digest(
                member.id(),
                member,
                stampMillis,
                true,
                false,
                Optional.empty(),
                List.of(),
                List.of(),
                Optional.empty()));
    }

    private List<FleetMessage.ConfigurationEnd> confirmations() {
        return fixture.all(FleetEffect.SendPeerMessage.class).stream()
                .map(FleetEffect.SendPeerMessage::message)
                .filter(FleetMessage.ConfigurationEnd.class::isInstance)
                .map(FleetMessage.ConfigurationEnd.class::cast)
                .toList();
    }

    private static FleetMessage.ConfigurationEnd confirmation(String incarnation, long stampMillis, long nextOffset) {
        return new FleetMessage.ConfigurationEnd("b", incarnation, stampMillis, OptionalLong.empty(), nextOffset);
    }

    private boolean readsConfiguration() {
        return fixture.all(FleetEffect.ReadFeed.class).stream().anyMatch(read -> read.feed() == Feed.CONFIGURATION);
    }

    @Test
    void readerConfirmsHeartbeatsReceivedBeforeItsRead() {
        heartbeat(FleetFixture.member("b"), 70);
        fixture.read(Feed.CONFIGURATION, fixture.nowMillis);
        fixture.advance(50);
        heartbeat(FleetFixture.member("b"), 90);

        fixture.read(Feed.CONFIGURATION, fixture.nowMillis);

        assertThat(confirmations())
                .containsExactly(new FleetMessage.ConfigurationEnd("a", "b/1", 70, OptionalLong.empty(), 1));
    }

    @Test
    void entryWithoutStoreServesWhileOthersConfirmItsConfiguration() {
        fixture.apply(new FleetEvent.FeedFailed(fixture.nowMillis, Feed.CONFIGURATION, false));
        fixture.nowMillis += 4_000;

        fixture.receive(confirmation("a/1", fixture.nowMillis - 300, 1));

        assertThat(FeedFlow.withdrawalsUpToDate(fixture.state, fixture.nowMillis + 4_000))
                .isTrue();
        assertThat(FeedFlow.withdrawalsUpToDate(fixture.state, fixture.nowMillis + 4_200))
                .isFalse();
    }

    @Test
    void confirmationForEarlierIncarnationIsIgnored() {
        fixture.nowMillis += 5_000;

        fixture.receive(confirmation("a/0", fixture.nowMillis, 1));

        assertThat(FeedFlow.withdrawalsUpToDate(fixture.state, fixture.nowMillis))
                .isFalse();
    }

    @Test
    void confirmedEntryDoesNotReadTheStore() {
        fixture.state = fixture.state.with(
                Feed.CONFIGURATION, fixture.state.feed(Feed.CONFIGURATION).confirmed(0));
        FleetState confirmed = withTwoReadersRankedBefore(fixture.state);

        assertThat(FreshnessFlow.readsDirectly(confirmed, fixture.nowMillis)).isFalse();
        assertThat(FreshnessFlow.readsDirectly(confirmed, fixture.nowMillis + 1_300))
                .isTrue();
    }

    /** Returns the state with a fresh configuration and two live peers that rank before this entry. */
    private FleetState withTwoReadersRankedBefore(FleetState state) {
        FleetState next = state;
        for (String id : List.of("A1", "A2")) {
            FleetMessage.Digest digest = new FleetMessage.Digest(
                    id,
                    FleetFixture.member(id),
                    0,
                    true,
                    false,
                    Optional.empty(),
                    List.of(),
                    List.of(),
                    Optional.empty());
            next = next.withPeers(next.peers().plus(id, FleetPeer.fromDigest(digest, fixture.nowMillis)));
        }
        return next.with(Feed.CONFIGURATION, next.feed(Feed.CONFIGURATION).confirmed(fixture.nowMillis));
    }

    @Test
    void entryBehindTheConfirmedOffsetReadsImmediately() {
        fixture.state = withTwoReadersRankedBefore(fixture.state);
        fixture.apply(new FleetEvent.FeedFailed(fixture.nowMillis, Feed.CONFIGURATION, false));

        fixture.receive(confirmation("a/1", fixture.nowMillis, 9));
        fixture.advance(200);

        assertThat(readsConfiguration()).isTrue();
    }
}
