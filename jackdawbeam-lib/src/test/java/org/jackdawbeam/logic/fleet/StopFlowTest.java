package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptId;
import org.junit.jupiter.api.Test;

class StopFlowTest {
    private static final long LEAVING_MILLIS = 3_000;
    private final FleetFixture fixture = FleetFixture.serving(FleetFixture.service("s1"));

    private void stop() {
        fixture.apply(new FleetEvent.StopRequested(fixture.nowMillis));
    }

    @Test
    void stoppingEntryIsNotReadyAndNotifiesPeersImmediately() {
        fixture.receiveHeartbeat("b");

        stop();

        assertThat(FleetDirectory.isReady(fixture.state, fixture.nowMillis)).isFalse();
        assertThat(fixture.all(FleetEffect.SendPeerMessage.class))
                .anyMatch(sent -> sent.message() instanceof FleetMessage.Digest digest && digest.leaving());
    }

    @Test
    void directoryOmitsLeavingPeer() {
        fixture.receiveHeartbeat("b");
        var leaving = new FleetMessage.Digest(
                "b", FleetFixture.member("b"), 0, true, true, Optional.empty(), List.of(), List.of(), Optional.empty());

        fixture.receive(leaving);

        assertThat(FleetDirectory.addresses(fixture.state, fixture.nowMillis)).containsExactly("a:2");
    }

    @Test
    void callersWithCachedAddressAreServed() {
        stop();
        fixture.advanceWithStoreReads(LEAVING_MILLIS - 100);

        fixture.call("pay");

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    // Guards against a request that may not be repeated and that the end of the process cuts off.
    @Test
    void requestThatMayOutlastTheProcessIsRefusedAsNotRun() {
        stop();
        fixture.advanceWithStoreReads(500);

        fixture.call("endless");

        Refusal refusal = fixture.only(FleetEffect.RefuseRequest.class).refusal();
        assertThat(refusal.ran()).isEqualTo(ExecutionStatus.NO);
        assertThat(refusal.retryAfterMillis()).isPresent();
        assertThat(fixture.all(FleetEffect.StartAttempt.class)).isEmpty();
    }

    // Guards against a request that waited while the process began to stop, and is sent too late to be answered.
    @Test
    void waitingRequestIsNotSentTooLateToBeAnswered() {
        FleetFixture engines = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        engines.apply(new FleetEvent.BoundsChanged(engines.nowMillis, FleetFixture.boundsWithGrace(2_000)));
        engines.state = engines.state.with("engines", new PrefillStatistics(20, 0, 2_000, 30_000, 1));
        engines.chat("slow", "m2");
        engines.apply(new FleetEvent.StopRequested(engines.nowMillis));

        engines.advance(50);
        FleetEffect.RefuseRequest refused = engines.only(FleetEffect.RefuseRequest.class);
        engines.listTargets(FleetFixture.engine("e1", "m1", "m2"));

        assertThat(refused.refusal().ran()).isEqualTo(ExecutionStatus.NO);
        assertThat(engines.all(FleetEffect.StartAttempt.class)).isEmpty();
    }

    @Test
    void stopCompletesUnderContinuousRequests() {
        stop();
        boolean exited = false;
        for (long passed = 0; passed < FleetFixture.BOUNDS.graceMillis() && !exited; passed += 50) {
            fixture.call("pay");
            fixture.advanceWithStoreReads(50);
            exited = !fixture.all(FleetEffect.Exit.class).isEmpty();
        }

        assertThat(exited).isTrue();
    }

    @Test
    void lateCallerIsToldThatRequestDidNotRun() {
        stop();
        fixture.advanceWithStoreReads(LEAVING_MILLIS + 100);

        fixture.call("pay");

        assertThat(fixture.only(FleetEffect.RefuseRequest.class).refusal().ran())
                .isEqualTo(ExecutionStatus.NO);
    }

    @Test
    void entryWithoutOpenRequestsExitsBeforeGracePeriodEnds() {
        stop();

        fixture.advanceWithStoreReads(LEAVING_MILLIS + 500);

        assertThat(fixture.state.stop()).isInstanceOf(StopStage.Stopped.class);
    }

    @Test
    void requestWaitingForModelIsRefusedWhenEntryDrains() {
        FleetFixture engines = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        long request = engines.chat("slow", "m2");
        engines.apply(new FleetEvent.StopRequested(engines.nowMillis));

        FleetEffect.RefuseRequest refused = firstRefusal(engines, LEAVING_MILLIS + 50);

        assertThat(refused.requestId()).isEqualTo(request);
        assertThat(refused.refusal().ran()).isEqualTo(ExecutionStatus.NO);
        assertThat(refused.refusal().code().httpStatus()).isEqualTo(503);
        assertThat(refused.refusal().retryAfterMillis()).isPresent();
    }

    @Test
    void requestWaitingForModelIsServedIfModelArrivesWhileEntryLeaves() {
        FleetFixture engines = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        engines.chat("slow", "m2");
        engines.apply(new FleetEvent.StopRequested(engines.nowMillis));
        engines.advanceWithStoreReads(1_000);

        engines.listTargets(FleetFixture.engine("e1", "m1", "m2"));

        assertThat(engines.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    @Test
    void unansweredCallIsReportedAsUnknownOutcomeAtExit() {
        long request = fixture.call("endless");
        AttemptId attempt = fixture.only(FleetEffect.StartAttempt.class).attempt();
        stop();

        FleetEffect.RefuseRequest refused = firstRefusal(fixture, FleetFixture.BOUNDS.graceMillis());

        assertThat(refused.requestId()).isEqualTo(request);
        assertThat(refused.refusal().ran()).isEqualTo(ExecutionStatus.UNKNOWN);
        assertThat(fixture.all(FleetEffect.CancelAttempt.class))
                .extracting(FleetEffect.CancelAttempt::attempt)
                .containsExactly(attempt);
        assertThat(fixture.all(FleetEffect.BreakAnswer.class)).isEmpty();
    }

    @Test
    void partialAnswerIsBrokenAtExit() {
        long request = fixture.call("endless");
        fixture.answer(fixture.only(FleetEffect.StartAttempt.class).attempt(), 200, false);
        stop();

        advanceUntilExit(fixture, FleetFixture.BOUNDS.graceMillis());

        assertThat(fixture.only(FleetEffect.BreakAnswer.class).requestId()).isEqualTo(request);
        assertThat(fixture.all(FleetEffect.RefuseRequest.class)).isEmpty();
    }

    @Test
    void retriedCallIsAnsweredWhileEntryDrains() {
        FleetFixture two = FleetFixture.serving(FleetFixture.service("s1"), FleetFixture.service("s22"));
        two.call("read");
        AttemptId first = two.only(FleetEffect.StartAttempt.class).attempt();
        two.apply(new FleetEvent.StopRequested(two.nowMillis));
        two.advanceWithStoreReads(LEAVING_MILLIS + 100);

        two.answer(first, 503, true);

        assertThat(two.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    @Test
    void allOpenRequestsAreEndedAtExit() {
        FleetFixture both = FleetFixture.serving(FleetFixture.service("s1"), FleetFixture.engine("e1", "m1"));
        both.call("endless");
        both.chat("slow", "m1");
        both.chat("slow", "m3");
        both.apply(new FleetEvent.StopRequested(both.nowMillis));

        advanceUntilExit(both, FleetFixture.BOUNDS.graceMillis());

        assertThat(both.all(FleetEffect.Exit.class)).hasSize(1);
        assertThat(both.state.requests()).isEmpty();
    }

    @Test
    void shortGracePeriodEndsBeforeProcessIsKilled() {
        long graceMillis = 2_000;
        fixture.apply(new FleetEvent.BoundsChanged(fixture.nowMillis, FleetFixture.boundsWithGrace(graceMillis)));
        fixture.call("endless");
        stop();

        advanceUntilExit(fixture, graceMillis - 50);

        assertThat(fixture.all(FleetEffect.Exit.class)).hasSize(1);
        assertThat(fixture.all(FleetEffect.RefuseRequest.class))
                .extracting(refused -> refused.refusal().code())
                .containsExactly(RefusalCode.OUTCOME_UNKNOWN);
    }

    @Test
    void startOfWaitIsLoggedOnceWithReason() {
        FleetFixture engines = FleetFixture.serving(FleetFixture.engine("e1", "m1"));

        engines.chat("slow", "m2");

        assertThat(engines.all(FleetEffect.Note.class))
                .filteredOn(note -> note.event().equals("request_waiting"))
                .singleElement()
                .satisfies(note -> assertThat(note.fields()).contains("m2", "no engine holds the model"));
        engines.advanceWithStoreReads(50);
        assertThat(engines.all(FleetEffect.Note.class))
                .noneMatch(note -> note.event().equals("request_waiting"));
    }

    private static FleetEffect.RefuseRequest firstRefusal(FleetFixture fixture, long withinMillis) {
        for (long passed = 0; passed < withinMillis; passed += 50) {
            fixture.advanceWithStoreReads(50);
            if (!fixture.all(FleetEffect.RefuseRequest.class).isEmpty()) {
                return fixture.only(FleetEffect.RefuseRequest.class);
            }
        }
        throw new AssertionError("nothing was refused within " + withinMillis + " ms");
    }

    private static void advanceUntilExit(FleetFixture fixture, long withinMillis) {
        for (long passed = 0; passed < withinMillis; passed += 50) {
            fixture.advanceWithStoreReads(50);
            if (!fixture.all(FleetEffect.Exit.class).isEmpty()) {
                return;
            }
        }
    }

    // Guards against a process that ends with the end of an answer in it.
    @Test
    void entryWithABufferedAnswerEndsWhenItHasBeenWritten() {
        fixture.apply(new FleetEvent.AnswerBuffered(fixture.nowMillis, 1));
        stop();
        fixture.advanceWithStoreReads(LEAVING_MILLIS + 1_500);
        assertThat(fixture.state.stop()).isInstanceOf(StopStage.Draining.class);

        fixture.apply(new FleetEvent.AnswerWritten(fixture.nowMillis, 1));
        fixture.advanceWithStoreReads(50);

        assertThat(fixture.all(FleetEffect.Exit.class)).hasSize(1);
    }

    @Test
    void entryEndsInTimeAlthoughACallerDoesNotReadItsAnswer() {
        fixture.apply(new FleetEvent.AnswerBuffered(fixture.nowMillis, 1));
        stop();

        fixture.advanceWithStoreReads(FleetFixture.BOUNDS.graceMillis());

        assertThat(fixture.state.stop()).isInstanceOf(StopStage.Stopped.class);
    }
}
