package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.fleet.TargetStatement;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.request.AttemptId;
import org.junit.jupiter.api.Test;

/** Statements of targets in their answers: that they are leaving, or that they accept no requests for a while. */
class TargetStatementTest {
    private static final TargetStatement LEAVING =
            new TargetStatement(Optional.empty(), true, OptionalLong.empty(), OptionalDouble.empty());
    private final FleetFixture fixture =
            FleetFixture.serving(FleetFixture.engine("e1", "m1"), FleetFixture.engine("e22", "m1"));

    private FleetEffect.StartAttempt started() {
        return fixture.only(FleetEffect.StartAttempt.class);
    }

    private void answer(AttemptId attempt, int status, TargetStatement statement) {
        fixture.apply(
                new FleetEvent.AttemptAnswered(fixture.nowMillis, attempt, status, status == 503, true, statement));
    }

    /** Sends a request small enough not to exceed the workspace's rate. */
    private static void sendRequest(FleetFixture entry, String model) {
        entry.arrive("chat", FleetFixture.KEY, Optional.of(model), Optional.empty(), 10);
    }

    private static TargetStatement paused(long millis) {
        return new TargetStatement(Optional.empty(), false, OptionalLong.of(millis), OptionalDouble.empty());
    }

    /** Lets an engine state with an answer that it is leaving, and returns its id. */
    private String leavingEngine() {
        sendRequest(fixture, "m1");
        String engine = started().target().id();
        answer(started().attempt(), 200, LEAVING);
        return engine;
    }

    private List<String> enginesOfNextRequests(int requests) {
        return IntStream.range(0, requests)
                .mapToObj(number -> {
                    sendRequest(fixture, "m1");
                    FleetEffect.StartAttempt start = started();
                    fixture.apply(new FleetEvent.AttemptCompleted(fixture.nowMillis, start.attempt(), 0));
                    return start.target().id();
                })
                .toList();
    }

    @Test
    void engineThatStatesItIsLeavingReceivesNoRequests() {
        String leaving = leavingEngine();

        assertThat(enginesOfNextRequests(12)).doesNotContain(leaving);
    }

    @Test
    void laterListEntryDoesNotRevokeTheStatement() {
        String leaving = leavingEngine();

        fixture.listTargets(FleetFixture.engine(leaving, "m1"));

        assertThat(enginesOfNextRequests(12)).doesNotContain(leaving);
    }

    @Test
    void restartRevokesTheStatement() {
        String leaving = leavingEngine();
        TargetDescription before = FleetFixture.engine(leaving, "m1");

        fixture.listTargets(new TargetDescription(
                leaving, "engines", before.address(), "zone-1", 64, false, Set.of("m1"), Set.of(), 8, 0));

        assertThat(enginesOfNextRequests(12)).contains(leaving);
    }

    @Test
    void otherEntriesAreInformedOnce() {
        sendRequest(fixture, "m1");
        FleetEffect.StartAttempt first = started();
        fixture.receiveHeartbeat("b");
        fixture.receiveHeartbeat("c");

        answer(first.attempt(), 200, LEAVING);

        FleetMessage announcement =
                new FleetMessage.TargetLeaving("a", first.target().id(), 7);
        assertThat(fixture.all(FleetEffect.SendPeerMessage.class))
                .containsExactlyInAnyOrder(
                        new FleetEffect.SendPeerMessage("b:1", announcement),
                        new FleetEffect.SendPeerMessage("c:1", announcement));
    }

    @Test
    void statementRelayedByAnotherEntryStopsRequests() {
        fixture.receive(new FleetMessage.TargetLeaving("b", "e1", 7));

        assertThat(enginesOfNextRequests(12)).doesNotContain("e1");
    }

    @Test
    void statementFromBeforeARestartIsIgnored() {
        fixture.receive(new FleetMessage.TargetLeaving("b", "e1", 6));

        assertThat(enginesOfNextRequests(12)).contains("e1");
    }

    @Test
    void leavingEngineReceivesNoOrders() {
        FleetFixture single = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        single.receive(new FleetMessage.TargetLeaving("b", "e1", 7));
        single.acquireLeadership(1);
        single.report("e1", 0, Set.of("m1"), Map.of());

        single.chat("slow", "m2");
        single.advanceWithStoreReads(300);

        assertThat(single.all(FleetEffect.SendOrder.class)).isEmpty();
        assertThat(single.all(FleetEffect.ReadReport.class)).isEmpty();
    }

    @Test
    void pausedEngineReceivesNoRequests() {
        sendRequest(fixture, "m1");
        String paused = started().target().id();
        answer(started().attempt(), 503, paused(1_500));

        assertThat(started().target().id()).isNotEqualTo(paused);
        fixture.apply(
                new FleetEvent.AttemptCompleted(fixture.nowMillis, started().attempt(), 0));
        assertThat(enginesOfNextRequests(4)).doesNotContain(paused);
        fixture.advanceWithStoreReads(1_400);
        assertThat(enginesOfNextRequests(1)).doesNotContain(paused);
        fixture.advanceWithStoreReads(150);
        String other = paused.equals("e1") ? "e22" : "e1";
        fixture.receive(new FleetMessage.TargetLeaving("b", other, 7));
        assertThat(enginesOfNextRequests(1)).contains(paused);
    }

    @Test
    void refusalCarriesTheRemainingPause() {
        FleetFixture single = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        sendRequest(single, "m1");
        AttemptId attempt = single.only(FleetEffect.StartAttempt.class).attempt();
        single.apply(new FleetEvent.AttemptAnswered(single.nowMillis, attempt, 503, true, true, paused(1_200)));

        sendRequest(single, "m1");

        assertThat(single.all(FleetEffect.StartAttempt.class)).isEmpty();
        var refusal = single.only(FleetEffect.RefuseRequest.class).refusal();
        assertThat(refusal.ran()).isEqualTo(ExecutionStatus.NO);
        assertThat(refusal.retryAfterMillis()).hasValue(1_200);
    }

    @Test
    void requestThatCanMeetItsObjectiveWaitsForAShortPause() {
        FleetFixture single = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        sendRequest(single, "m1");
        AttemptId attempt = single.only(FleetEffect.StartAttempt.class).attempt();
        single.apply(new FleetEvent.AttemptAnswered(single.nowMillis, attempt, 503, true, true, paused(200)));

        sendRequest(single, "m1");

        assertThat(single.all(FleetEffect.RefuseRequest.class)).isEmpty();
        single.advanceWithStoreReads(200);
        assertThat(single.state.requests().get(2L).phase()).isInstanceOf(RequestPhase.Running.class);
    }

    @Test
    void pausedPlainServiceReceivesNoRequests() {
        FleetFixture payments = FleetFixture.serving(FleetFixture.service("s1"));
        payments.call("pay");
        AttemptId attempt = payments.only(FleetEffect.StartAttempt.class).attempt();
        payments.apply(new FleetEvent.AttemptAnswered(payments.nowMillis, attempt, 503, true, true, paused(900)));

        payments.call("pay");

        assertThat(payments.all(FleetEffect.StartAttempt.class)).isEmpty();
        assertThat(payments.only(FleetEffect.RefuseRequest.class).refusal().retryAfterMillis())
                .hasValue(900);
    }

    @Test
    void restartEndsAPause() {
        sendRequest(fixture, "m1");
        TargetDescription paused = started().target();
        answer(started().attempt(), 503, paused(60_000));

        fixture.listTargets(new TargetDescription(
                paused.id(), "engines", paused.address(), "zone-1", 64, false, Set.of("m1"), Set.of(), 8, 0));

        assertThat(enginesOfNextRequests(12)).contains(paused.id());
    }

    @Test
    void pausedEngineReceivesNoOrders() {
        FleetFixture single = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        single.acquireLeadership(1);
        single.report("e1", 0, Set.of("m1"), Map.of());
        sendRequest(single, "m1");
        AttemptId attempt = single.only(FleetEffect.StartAttempt.class).attempt();
        single.apply(new FleetEvent.AttemptAnswered(single.nowMillis, attempt, 503, true, true, paused(5_000)));

        single.chat("slow", "m2");
        single.advanceWithStoreReads(50);

        assertThat(single.all(FleetEffect.SendOrder.class)).isEmpty();
    }
}
