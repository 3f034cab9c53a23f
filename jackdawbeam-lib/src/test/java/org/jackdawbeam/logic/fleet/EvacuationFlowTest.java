package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.log.OrderAction;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.request.AttemptFailure;
import org.junit.jupiter.api.Test;

/** An availability zone that is evacuated while requests arrive. */
class EvacuationFlowTest {
    private static final long LIMIT_MILLIS = 5_000;
    private static final String ZONE = "zone-2";
    private static final FeedEntry EVACUATED = new FeedEntry.ZoneEvacuated(ZONE);
    private static final FeedEntry TAKEN_BACK = new FeedEntry.ZoneEvacuationEnded(ZONE);

    private final FleetFixture fixture = new FleetFixture();

    EvacuationFlowTest() {
        fixture.apply(new FleetEvent.BoundsChanged(
                fixture.nowMillis, FleetFixture.BOUNDS.withEvacuateMillis(OptionalLong.of(LIMIT_MILLIS))));
    }

    private void serve(TargetDescription... targets) {
        fixture.configure(FleetFixture.generousConfiguration(1));
        fixture.listTargets(targets);
    }

    private static TargetDescription inZone(String zone, TargetDescription target) {
        return new TargetDescription(
                target.id(),
                target.service(),
                target.address(),
                zone,
                target.slots(),
                target.leaving(),
                target.models(),
                target.atHand(),
                target.startedAtMillis(),
                target.orderCount());
    }

    private static TargetDescription evacuated(TargetDescription target) {
        return inZone(ZONE, target);
    }

    private void readConfiguration(FeedEntry... entries) {
        fixture.read(Feed.CONFIGURATION, fixture.nowMillis, entries);
    }

    private void readAll(FeedEntry... entries) {
        fixture.apply(new FleetEvent.FeedRead(
                fixture.nowMillis, Feed.CONFIGURATION, fixture.nowMillis, true, List.of(entries), 1));
    }

    private List<String> sentTo() {
        return fixture.all(FleetEffect.StartAttempt.class).stream()
                .map(sent -> sent.target().id())
                .toList();
    }

    private void assertServedBy(String target, String route, String model) {
        for (int count = 0; count < 20; count++) {
            fixture.chat(route, model);
            assertThat(sentTo()).containsExactly(target);
        }
    }

    @Test
    void zoneGetsNothingAtOnceWhereOthersHoldTheModel() {
        serve(FleetFixture.engine("e1", "m1"), evacuated(FleetFixture.engine("e22", "m1")));

        readConfiguration(EVACUATED);

        assertThat(fixture.all(FleetEffect.Note.class))
                .anyMatch(note -> note.event().equals("zone_evacuation_started"));
        assertServedBy("e1", "chat", "m1");
    }

    // Guards against a bound counted from when an entry learns, which may be long after the store's word.
    @Test
    void lastReplicaServesUntilShortlyBeforeTheLimitAfterTheLatestCompleteRead() {
        serve(FleetFixture.engine("e1", "m2"), evacuated(FleetFixture.engine("e22", "m1")));
        long completeAt = fixture.nowMillis;
        fixture.nowMillis += 1_500;
        readConfiguration(EVACUATED);

        fixture.chat("chat", "m1");
        assertThat(sentTo()).containsExactly("e22");
        assertThat(fixture.only(FleetEffect.StartAttempt.class).sendUntilMillis())
                .isBetween(fixture.nowMillis, completeAt + LIMIT_MILLIS - 1);

        fixture.advanceWithStoreReads(completeAt + LIMIT_MILLIS - fixture.nowMillis - 100);
        fixture.chat("chat", "m1");
        assertThat(sentTo()).isEmpty();
        assertThat(fixture.all(FleetEffect.RefuseRequest.class)).isEmpty();
    }

    @Test
    void serviceThatStandsInTheZoneAloneRefusesTrulyOnceTheEvacuationIsInForce() {
        serve(evacuated(FleetFixture.service("s1")));
        readConfiguration(EVACUATED);
        fixture.call("pay");
        assertThat(sentTo()).containsExactly("s1");

        fixture.advanceWithStoreReads(LIMIT_MILLIS);
        fixture.call("pay");

        assertThat(sentTo()).isEmpty();
        assertThat(fixture.only(FleetEffect.RefuseRequest.class).refusal().ran())
                .isEqualTo(ExecutionStatus.NO);
    }

    @Test
    void entryThatStartsMeanwhileTreatsTheEvacuationAsInForce() {
        readAll(new FeedEntry.Configuration(FleetFixture.generousConfiguration(1)), EVACUATED);
        fixture.listTargets(evacuated(FleetFixture.engine("e22", "m1")));

        fixture.chat("chat", "m1");

        assertThat(sentTo()).isEmpty();
    }

    // Guards against an attempt that waits for a connection since before the evacuation was known.
    @Test
    void attemptMayOnlyLeaveWhileAnEvacuationNotYetKnownWouldBeInTime() {
        serve(evacuated(FleetFixture.service("s1")), FleetFixture.service("s22"));
        long completeAt = fixture.nowMillis;
        fixture.nowMillis += 1_000;

        fixture.call("pay");

        assertThat(fixture.only(FleetEffect.StartAttempt.class).sendUntilMillis())
                .isLessThan(completeAt + LIMIT_MILLIS);
    }

    @Test
    void attemptWhosePermissionEndedAndRetriesGoElsewhere() {
        serve(evacuated(FleetFixture.service("s1")));
        fixture.call("read");
        FleetEffect.StartAttempt first = fixture.only(FleetEffect.StartAttempt.class);
        fixture.listTargets(FleetFixture.service("s22"));
        readConfiguration(EVACUATED);

        fixture.apply(new FleetEvent.AttemptFailed(
                fixture.nowMillis, first.attempt(), AttemptFailure.PERMISSION_ENDED, false));

        assertThat(sentTo()).containsExactly("s22");
    }

    // Guards against a stream that is resumed in the zone because every other engine has already failed it.
    @Test
    void brokenStreamIsNotResumedInTheZone() {
        serve(FleetFixture.engine("e1", "m1"), evacuated(FleetFixture.engine("e22", "m1")));
        readConfiguration(EVACUATED);
        fixture.advanceWithStoreReads(LIMIT_MILLIS / 2);
        fixture.chat("letter", "m1");
        FleetEffect.StartAttempt first = fixture.only(FleetEffect.StartAttempt.class);
        fixture.advanceWithStoreReads(LIMIT_MILLIS / 2);

        fixture.apply(
                new FleetEvent.AttemptFailed(fixture.nowMillis, first.attempt(), AttemptFailure.CONNECTION_LOST, true));
        assertThat(sentTo()).doesNotContain("e22");
    }

    @Test
    void evacuationHoldsWhileTheStoreIsAwayAndEndsWithItsRemoval() {
        serve(FleetFixture.service("s1"), evacuated(FleetFixture.service("s22")));
        readConfiguration(EVACUATED);
        fixture.apply(new FleetEvent.FeedFailed(fixture.nowMillis, Feed.CONFIGURATION, false));
        fixture.advance(20_000);
        assertThat(fixture.state.evacuations().contains(ZONE)).isTrue();

        readConfiguration(TAKEN_BACK);

        assertThat(fixture.state.evacuations().isEmpty()).isTrue();
        assertThat(fixture.all(FleetEffect.Note.class))
                .anyMatch(note -> note.event().equals("zone_evacuation_ended"));
    }

    @Test
    void completeReadWithoutTheRecordEndsTheEvacuation() {
        serve();
        readConfiguration(EVACUATED);

        readAll(new FeedEntry.Configuration(FleetFixture.generousConfiguration(2)));

        assertThat(fixture.state.evacuations().isEmpty()).isTrue();
    }

    // Guards against a store that returns from a copy made before the evacuation; the operator writes it again.
    @Test
    void evacuationOutlastsTheReturnOfAnOlderStoreUntilItIsWrittenAgain() {
        serve();
        fixture.apply(new FleetEvent.StoreEraSeen(fixture.nowMillis, 3));
        readConfiguration(EVACUATED);
        fixture.nowMillis += 10;
        fixture.apply(new FleetEvent.StoreEraSeen(fixture.nowMillis, 4));
        fixture.nowMillis += 10;
        readAll(new FeedEntry.Configuration(FleetFixture.generousConfiguration(1)));
        fixture.advance(2_000);
        assertThat(fixture.state.evacuations().contains(ZONE)).isTrue();

        readConfiguration(EVACUATED);
        fixture.advanceWithStoreReads(10_000);
        assertThat(fixture.state.evacuations().contains(ZONE)).isTrue();
    }

    @Test
    void evacuationThatIsNotWrittenAgainEndsSomeSecondsAfterTheStoreReturned() {
        serve();
        fixture.apply(new FleetEvent.StoreEraSeen(fixture.nowMillis, 3));
        readConfiguration(EVACUATED);
        fixture.nowMillis += 10;
        fixture.apply(new FleetEvent.StoreEraSeen(fixture.nowMillis, 4));
        fixture.nowMillis += 10;
        readAll(new FeedEntry.Configuration(FleetFixture.generousConfiguration(1)));

        fixture.advanceWithStoreReads(6_000);

        assertThat(fixture.state.evacuations().isEmpty()).isTrue();
    }

    // In a fleet with hubs, a confirmation that ends later than what an entry has read makes it read the store itself.
    @Test
    void entryWithAHubReadsTheEvacuationWhenTheHubIsAhead() {
        serve(FleetFixture.engine("e1", "m1"), evacuated(FleetFixture.engine("e22", "m1")));
        for (int number = 0; number < 30; number++) {
            String id = "m" + number;
            FleetMember member = new FleetMember(id, id + "/1", "zone-1", id + ":1", id + ":2", 101 + number);
            fixture.read(Feed.MEMBERS, fixture.nowMillis, new FeedEntry.Member(member));
        }
        fixture.advance(FleetTimings.GROUP_HEARTBEAT_INTERVAL);
        fixture.apply(new FleetEvent.FeedFailed(fixture.nowMillis, Feed.CONFIGURATION, false));
        fixture.receive(new FleetMessage.ConfigurationEnd("m29", "a/1", fixture.nowMillis, OptionalLong.empty(), 2));
        fixture.advance(200);
        assertThat(fixture.all(FleetEffect.ReadFeed.class)).anyMatch(read -> read.feed() == Feed.CONFIGURATION);

        readConfiguration(EVACUATED);

        assertServedBy("e1", "chat", "m1");
    }

    // Guards against models that are asked for in vain because only engines of the zone hold them.
    @Test
    void modelOfTheZoneIsLoadedElsewhereWhileTheZoneMayStillBeUsed() {
        serve(FleetFixture.engine("e1", "m2"), evacuated(FleetFixture.engine("e22", "m1")));
        fixture.acquireLeadership(4);
        fixture.report("e1", 3, Set.of("m2"), Map.of());
        fixture.report("e22", 3, Set.of("m1"), Map.of());
        readConfiguration(EVACUATED);

        List<EngineOrder> orders = new ArrayList<>();
        for (int tick = 0; tick < 20; tick++) {
            fixture.chat("chat", "m1");
            assertThat(sentTo()).containsExactly("e22");
            fixture.renewLeadership();
            fixture.advanceWithStoreReads(50);
            fixture.all(FleetEffect.SendOrder.class).forEach(sent -> orders.add(sent.order()));
        }

        assertThat(orders).first().satisfies(order -> {
            assertThat(order.target()).isEqualTo("e1");
            assertThat(order.action()).isEqualTo(OrderAction.LOAD_MODEL);
            assertThat(order.model()).isEqualTo("m1");
        });
        assertThat(orders).allMatch(order -> order.target().equals("e1"));
    }

    @Test
    void adapterIsNotLoadedInTheZone() {
        serve(evacuated(FleetFixture.engine("e22", "m1")));
        fixture.acquireLeadership(4);
        fixture.report("e22", 3, Set.of("m1"), Map.of("m1", Set.of()));
        readConfiguration(EVACUATED);

        fixture.arrive("chat", FleetFixture.KEY, Optional.of("m1"), Optional.of("a1"), 100);

        assertThat(fixture.all(FleetEffect.SendOrder.class)).isEmpty();
    }

    // Guards the deployments that state no limit: their attempts are bounded as before.
    @Test
    void withoutALimitNothingChangesUntilAZoneIsEvacuated() {
        FleetFixture plain = FleetFixture.serving(evacuated(FleetFixture.service("s1")));
        plain.call("pay");
        assertThat(plain.only(FleetEffect.StartAttempt.class).sendUntilMillis())
                .isEqualTo(FeedFlow.withdrawalsValidUntilMillis(plain.state));

        plain.read(Feed.CONFIGURATION, plain.nowMillis, EVACUATED);
        plain.call("pay");
        assertThat(plain.all(FleetEffect.StartAttempt.class)).isEmpty();
    }
}
