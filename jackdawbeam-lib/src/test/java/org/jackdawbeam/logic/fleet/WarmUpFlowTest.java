package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jackdawbeam.model.fleet.ColdTolerance;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.request.AttemptFailure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests of all entries together at targets that have just started or become cold again. */
class WarmUpFlowTest {
    private static final long COLD_MILLIS = 3_000;
    private static final long SECOND = 1_000;

    private static FleetBounds bounds(double overshoot, double slack) {
        return FleetFixture.BOUNDS.withColdTolerance(new ColdTolerance(overshoot, slack));
    }

    private static TargetDescription[] targets(int count, int cold, long coldMillis) {
        TargetDescription[] targets = new TargetDescription[count];
        for (int target = 0; target < count; target++) {
            targets[target] = FleetFixture.service(LimitedFleet.LIMITED + "x".repeat(target))
                    .withColdMillis(target < cold ? coldMillis : 0);
        }
        return targets;
    }

    private static LimitedFleet fleet(int hosts, int targetCount, double perSecond, FleetBounds bounds) {
        LimitedFleet fleet = new LimitedFleet(hosts, targetCount);
        fleet.configure(bounds, FleetFixture.warmingConfiguration(2, COLD_MILLIS, perSecond));
        fleet.listTargets(targets(targetCount, 0, 0));
        fleet.run(2_000, 200, "read");
        return fleet;
    }

    private static FleetFixture entry(TargetDescription... targets) {
        FleetFixture fixture = FleetFixture.serving(targets);
        fixture.apply(new FleetEvent.BoundsChanged(fixture.nowMillis, bounds(1.5, 5)));
        fixture.configure(FleetFixture.warmingConfiguration(2, COLD_MILLIS, 10));
        return fixture;
    }

    private static boolean isCold(FleetFixture fixture) {
        return fixture.state.targets().get("s").cold().isPresent();
    }

    // Answers the load of a zone that returns: its idle targets attract the requests of all entries at once.
    @ParameterizedTest
    @CsvSource({"73, 6, 3, 10, 1.5, 5", "73, 3, 3, 10, 1.5, 5", "20, 4, 2, 2, 1.5, 3", "8, 3, 3, 10, 1.5, 5"})
    void coldTargetsOfAZoneStayWithinTheirTolerance(
            int hosts, int count, int cold, double perSecond, double overshoot, double slack) {
        LimitedFleet fleet = fleet(hosts, count, perSecond, bounds(overshoot, slack));
        fleet.arrivalsByTarget.clear();
        long returned = fleet.nowMillis;
        fleet.listTargets(targets(count, cold, COLD_MILLIS));

        fleet.run(COLD_MILLIS, 200, "read");

        for (TargetDescription target : targets(cold, cold, 0)) {
            List<Long> arrivals = fleet.arrivalsByTarget.getOrDefault(target.id(), List.of());
            assertThat((double) LimitedFleet.most(arrivals, returned, SECOND))
                    .isLessThanOrEqualTo(perSecond * overshoot + slack);
        }
    }

    // Guards against callers that wait in vain for cold targets, and that all come back at once.
    @Test
    void coldTargetsAreUsedWithinTheirRateAndOtherRequestsAreRefusedAtOnce() {
        LimitedFleet fleet = fleet(73, 2, 10, bounds(1.5, 5));
        fleet.arrivalsByTarget.clear();
        fleet.refusals.clear();
        fleet.listTargets(targets(2, 2, COLD_MILLIS));

        fleet.run(COLD_MILLIS - 100, 200, "read");

        assertThat(fleet.arrivalsByTarget.get("s")).hasSizeGreaterThan(10);
        assertThat(fleet.refusals)
                .hasSizeGreaterThan(100)
                .allSatisfy(refused -> assertThat(refused.refusal().ran()).isEqualTo(ExecutionStatus.NO));
        assertThat(fleet.refusals.stream()
                        .map(refused -> refused.refusal().retryAfterMillis())
                        .distinct())
                .hasSizeGreaterThan(10);
    }

    // Guards against entries that start meanwhile and do not know of the others' requests.
    @Test
    void entriesThatStartMeanwhileKeepTheTolerance() {
        LimitedFleet fleet = fleet(40, 2, 10, bounds(1.5, 5));
        fleet.arrivalsByTarget.clear();
        long returned = fleet.nowMillis;
        fleet.listTargets(targets(2, 2, COLD_MILLIS));
        fleet.run(500, 200, "read");
        for (int host = 0; host < 10; host++) {
            fleet.addHost(
                    "late-" + host,
                    bounds(1.5, 5),
                    FleetFixture.warmingConfiguration(2, COLD_MILLIS, 10),
                    targets(2, 2, COLD_MILLIS));
        }

        fleet.run(COLD_MILLIS - 500, 200, "read");

        assertThat(LimitedFleet.most(fleet.arrivalsByTarget.get("s"), returned, SECOND))
                .isLessThanOrEqualTo(20);
    }

    // Guards against a cold time that begins anew with each reading of the list, or never again.
    @Test
    void descriptionThatIsReadAgainDoesNotRenewTheColdTime() {
        TargetDescription target = FleetFixture.service("s");
        FleetFixture fixture = entry(target.withColdMillis(COLD_MILLIS));
        fixture.advance(2_000);
        fixture.listTargets(target.withColdMillis(COLD_MILLIS));
        fixture.advance(900);
        assertThat(isCold(fixture)).isTrue();
        fixture.advance(100);
        assertThat(isCold(fixture)).isFalse();

        fixture.listTargets(target);
        fixture.listTargets(target.withColdMillis(2_000));
        fixture.advance(1_900);
        assertThat(isCold(fixture)).isTrue();
        fixture.listTargets(target.withColdMillis(0));
        fixture.advance(50);
        assertThat(isCold(fixture)).isFalse();
    }

    // Guards against a restart that the list tells late.
    @Test
    void newStartUnderTheSameIdIsColdAsTheListSays() {
        TargetDescription target = FleetFixture.service("s");
        FleetFixture fixture = entry(target.withColdMillis(COLD_MILLIS));
        fixture.advance(4_000);
        fixture.listTargets(FleetFixture.startedAt(8, target).withColdMillis(COLD_MILLIS));

        assertThat(isCold(fixture)).isTrue();
    }

    // Answers requests that rush to a target that has restarted under its id before the list says so.
    @Test
    void targetThatAnswersAfterALostConnectionIsTakenToBeCold() {
        FleetFixture fixture = entry(FleetFixture.service("s"));
        fixture.call("read");
        FleetEffect.StartAttempt first = fixture.only(FleetEffect.StartAttempt.class);
        fixture.apply(
                new FleetEvent.AttemptFailed(fixture.nowMillis, first.attempt(), AttemptFailure.CONNECT_FAILED, false));
        fixture.advanceWithStoreReads(5_000);
        assertThat(isCold(fixture)).isTrue();

        fixture.call("read");
        fixture.answer(fixture.only(FleetEffect.StartAttempt.class).attempt(), 200, false);
        fixture.advanceWithStoreReads(COLD_MILLIS - 100);
        assertThat(isCold(fixture)).isTrue();
        fixture.advanceWithStoreReads(150);

        assertThat(isCold(fixture)).isFalse();
    }

    // Answers a zone that is taken back with targets that have become cold and whose list entries are older.
    @Test
    void targetsOfAZoneThatIsUsedAgainAreTakenToBeCold() {
        FleetFixture fixture = entry(FleetFixture.service("s"));
        fixture.state = WarmUpFlow.onZoneReturned(fixture.state, "zone-2", fixture.nowMillis, fixture.effects);
        assertThat(isCold(fixture)).isFalse();
        fixture.state = WarmUpFlow.onZoneReturned(
                fixture.state, FleetFixture.service("s").zone(), fixture.nowMillis, new ArrayList<>());
        fixture.listTargets(FleetFixture.service("s"));

        fixture.call("read");
        assertThat(fixture.all(FleetEffect.StartAttempt.class)).isEmpty();
        fixture.advanceWithStoreReads(COLD_MILLIS - 50);
        assertThat(isCold(fixture)).isTrue();
        fixture.advanceWithStoreReads(50);

        assertThat(isCold(fixture)).isFalse();
    }

    @Test
    void targetsAreTakenToBeColdWhenTheEvacuationOfTheirZoneEnds() {
        FleetFixture fixture = entry(FleetFixture.service("s"));
        String zone = FleetFixture.service("s").zone();
        fixture.read(Feed.CONFIGURATION, fixture.nowMillis, new FeedEntry.ZoneEvacuated(zone));
        assertThat(isCold(fixture)).isFalse();

        fixture.read(Feed.CONFIGURATION, fixture.nowMillis, new FeedEntry.ZoneEvacuationEnded(zone));

        assertThat(isCold(fixture)).isTrue();
    }

    // Guards earlier deployments, whose targets need no warm-up.
    @Test
    void requestsAreSentAsBeforeWithoutWarmUp() {
        FleetFixture fixture = FleetFixture.serving(FleetFixture.service("s").withColdMillis(COLD_MILLIS));
        fixture.configure(FleetFixture.generousConfiguration(2));

        for (int request = 0; request < 40; request++) {
            fixture.call("read");
            assertThat(fixture.only(FleetEffect.StartAttempt.class).sendUntilMillis())
                    .isGreaterThan(fixture.nowMillis + SECOND);
        }
    }

    // Answers a model that only cold targets hold.
    @ParameterizedTest
    @CsvSource({"60000, true", "2000, false"})
    void modelOfAnEngineThatStaysColdForLongIsLoadedElsewhere(long coldMillis, boolean loaded) {
        TargetDescription engine = FleetFixture.engine("e1", "m1");
        FleetFixture fixture = entry(engine, FleetFixture.engine("e22", "m2"));
        fixture.acquireLeadership(4);
        fixture.report("e1", 3, Set.of("m1"), Map.of());
        fixture.report("e22", 3, Set.of("m2"), Map.of());
        fixture.advanceWithStoreReads(500);
        fixture.renewLeadership();
        fixture.listTargets(engine.withColdMillis(coldMillis), FleetFixture.engine("e22", "m2"));

        fixture.chat("chat", "m1");
        fixture.advance(200);

        List<String> orders = fixture.all(FleetEffect.SendOrder.class).stream()
                .map(FleetEffect.SendOrder::order)
                .map(EngineOrder::target)
                .toList();
        assertThat(orders).isEqualTo(loaded ? List.of("e22") : List.of());
    }

    // Guards against a new engine that stays empty because requests to it are few.
    @Test
    void emptyColdEngineGetsOrders() {
        FleetFixture fixture = entry(FleetFixture.engine("e1").withColdMillis(60_000));
        fixture.acquireLeadership(4);
        fixture.report("e1", 3, Set.of(), Map.of());
        fixture.advanceWithStoreReads(500);
        fixture.renewLeadership();

        fixture.chat("chat", "m1");
        fixture.advance(200);

        assertThat(fixture.only(FleetEffect.SendOrder.class).order().target()).isEqualTo("e1");
    }
}
