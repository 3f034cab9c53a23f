package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.jackdawbeam.logic.fleet.QuotaFlow.Verdict;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.Workspace;
import org.junit.jupiter.api.Test;

class QuotaFlowTest {
    private static final double PLAIN_UNITS = 5;
    private static final double SMALL_UNITS = 20;
    private static final double LARGE_UNITS = 90;
    private static final Workspace WORKSPACE =
            new Workspace("w", Set.of(), OptionalInt.empty(), 1_000, 1_000, true, PLAIN_UNITS);
    private final QuotaFlow quota = new QuotaFlow();

    /** Requests units from the entry's own bucket every 10 ms and returns the number of units granted. */
    private double acquireRepeatedly(FleetFixture fixture, double units, long millis) {
        double granted = 0;
        for (long passed = 0; passed < millis; passed += 10) {
            fixture.nowMillis += 10;
            QuotaFlow.Decision decision = quota.acquire(fixture.state, WORKSPACE, units, 9, fixture.nowMillis);
            fixture.state = decision.state();
            granted += decision.verdict() instanceof Verdict.Granted ? units : 0;
        }
        return granted;
    }

    @Test
    void singleEntryGrantsNoMoreThanRateAndBurst() {
        FleetFixture fixture = FleetFixture.serving();

        double granted = acquireRepeatedly(fixture, 50, 8_000);

        assertThat(granted).isBetween(8_000.0, 9_000.0);
    }

    @Test
    void partitionedEntriesTogetherGrantNoMoreThanTheRate() {
        double granted = 0;
        for (int half = 0; half < 2; half++) {
            FleetFixture fixture = FleetFixture.serving();
            fixture.read(Feed.MEMBERS, fixture.nowMillis, new FeedEntry.Member(FleetFixture.member("b")));
            granted += acquireRepeatedly(fixture, 50, 8_000);
        }

        assertThat(granted).isLessThanOrEqualTo(9_000);
    }

    @Test
    void requestLargerThanBurstIsAdmittedFromFullBucketAndLeavesDebt() {
        FleetFixture fixture = FleetFixture.serving();

        double granted = acquireRepeatedly(fixture, 5_000, 20_000);

        assertThat(granted).isBetween(15_000.0, 25_000.0);
    }

    @Test
    void allEntriesAgreeOnTheQuotaOwner() {
        List<String> members = List.of("a", "b", "c", "d");
        List<String> answers = new ArrayList<>();
        for (String self : members) {
            FleetFixture fixture = new FleetFixture();
            fixture.state = FleetState.initial(FleetFixture.member(self), FleetFixture.BOUNDS);
            members.stream().filter(member -> !member.equals(self)).forEach(fixture::receiveHeartbeat);
            Verdict verdict = quota.acquire(fixture.state, WORKSPACE, 1, 0, fixture.nowMillis)
                    .verdict();
            answers.add(
                    verdict instanceof Verdict.OwnedByPeer owned
                            ? owned.peer().member().id()
                            : self);
        }

        assertThat(answers).containsOnly(answers.getFirst());
    }

    @Test
    void denialStatesWhenEnoughUnitsWillBeAvailable() {
        FleetFixture fixture = FleetFixture.serving();
        acquireRepeatedly(fixture, 50, 2_000);
        Verdict large = acquireAfter(fixture, 500, 100);

        Verdict verdict = quota.acquire(fixture.state, WORKSPACE, 50, 0, fixture.nowMillis)
                .verdict();

        assertThat(large).isInstanceOf(Verdict.Granted.class);
        assertThat(verdict).isInstanceOf(Verdict.Denied.class);
        assertThat(((Verdict.Denied) verdict).retryAfterMillis()).isBetween(300L, 500L);
    }

    @Test
    void unitsOfRequestThatDidNotRunAreRefunded() {
        FleetFixture fixture = FleetFixture.serving();
        acquireRepeatedly(fixture, 10, 2_000);
        double before = fixture.state.buckets().get("w").balance();

        fixture.receive(new FleetMessage.QuotaReturn("b", "w", 300));

        assertThat(fixture.state.buckets().get("w").balance()).isEqualTo(before + 300);
    }

    /** Guards against refusing the first burst of long prompts after an idle period although it is within the rate. */
    @Test
    void firstRequestsCanUseUnitsAccruedWhileIdle() {
        FleetFixture fixture = FleetFixture.serving();
        fixture.advanceWithStoreReads(3_000);

        Verdict verdict = quota.acquire(fixture.state, WORKSPACE, 950, 0, fixture.nowMillis)
                .verdict();

        assertThat(verdict).isInstanceOf(Verdict.Granted.class);
    }

    @Test
    void newQuotaOwnerAssumesThatPreviousOwnerGrantedTheBurst() {
        FleetFixture fixture = new FleetFixture();
        fixture.state = FleetState.initial(FleetFixture.member("b"), FleetFixture.BOUNDS);
        fixture.configure(FleetFixture.configuration(1, FleetFixture.KEY));
        List<String> peers = new ArrayList<>(List.of("a", "c", "d", "e", "f", "g", "h"));
        receiveHeartbeatsFor(fixture, peers, 3_000);
        Verdict before =
                quota.acquire(fixture.state, WORKSPACE, 1, 0, fixture.nowMillis).verdict();
        while (before instanceof Verdict.OwnedByPeer owned) {
            peers.remove(owned.peer().member().id());
            receiveHeartbeatsFor(fixture, peers, 1_000);
            before = quota.acquire(fixture.state, WORKSPACE, 1, 0, fixture.nowMillis)
                    .verdict();
        }

        double granted = 0;
        while (acquireAfter(fixture, 50, 0) instanceof Verdict.Granted) {
            granted += 50;
        }

        assertThat(peers).as("another entry owned the quota at first").hasSizeBetween(3, 6);
        assertThat(granted).isLessThan(950);
    }

    private static void receiveHeartbeatsFor(FleetFixture fixture, List<String> peers, long millis) {
        for (long passed = 0; passed < millis; passed += 250) {
            peers.forEach(fixture::receiveHeartbeat);
            fixture.advanceWithStoreReads(250);
        }
    }

    /** Guards against starvation of large requests by small ones that consume units as they accrue. */
    @Test
    void largeAndSmallRequestsAreGrantedEquallyOftenOverTheRate() {
        Random random = new Random(1);
        FleetFixture fixture = FleetFixture.serving();
        int[] requested = new int[2];
        int[] granted = new int[2];
        for (int request = 0; request < 10_000; request++) {
            boolean large = random.nextInt(10) == 0;
            Verdict verdict = acquireAfter(fixture, large ? LARGE_UNITS : SMALL_UNITS, 10);
            requested[large ? 1 : 0]++;
            granted[large ? 1 : 0] += verdict instanceof Verdict.Granted ? 1 : 0;
        }

        double small = (double) granted[0] / requested[0];
        double large = (double) granted[1] / requested[1];
        assertThat(small).as("the workspace requests more than its rate").isLessThan(1);
        assertThat(large / small).isBetween(0.9, 1.1);
    }

    /** Guards against calls without tokens, such as payments, waiting for the debt of their workspace's prompts. */
    @Test
    void callsWithoutTokensAreAdmittedDespitePromptsOverTheRate() {
        FleetFixture fixture = FleetFixture.serving();
        int granted = 0;
        for (int second = 0; second < 60; second++) {
            for (int prompt = 0; prompt < 50; prompt++) {
                acquireAfter(fixture, 60, 20);
            }
            granted += acquireAfter(fixture, PLAIN_UNITS, 0) instanceof Verdict.Granted ? 1 : 0;
        }

        assertThat(granted).isEqualTo(60);
    }

    private Verdict acquireAfter(FleetFixture fixture, double units, long millis) {
        fixture.nowMillis += millis;
        QuotaFlow.Decision decision = quota.acquire(fixture.state, WORKSPACE, units, 9, fixture.nowMillis);
        fixture.state = decision.state();
        return decision.verdict();
    }
}
