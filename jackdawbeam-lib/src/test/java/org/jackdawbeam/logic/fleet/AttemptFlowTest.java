package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;
import org.junit.jupiter.api.Test;

class AttemptFlowTest {
    private final FleetFixture fixture = FleetFixture.serving(
            FleetFixture.service("s1"),
            FleetFixture.service("s22"),
            FleetFixture.engine("e1", "m1"),
            FleetFixture.engine("e22", "m1"));

    private AttemptId started() {
        return fixture.only(FleetEffect.StartAttempt.class).attempt();
    }

    private void failConnection(AttemptId attempt, boolean written) {
        fixture.apply(
                new FleetEvent.AttemptFailed(fixture.nowMillis, attempt, AttemptFailure.CONNECTION_LOST, written));
    }

    private FleetEffect.RefuseRequest refused() {
        return fixture.only(FleetEffect.RefuseRequest.class);
    }

    @Test
    void paymentWhoseConnectionIsLostIsNotSentAgain() {
        fixture.call("pay");

        failConnection(started(), true);

        assertThat(refused().refusal().code()).isEqualTo(RefusalCode.TARGET_FAILED);
        assertThat(refused().refusal().ran()).isEqualTo(ExecutionStatus.UNKNOWN);
    }

    @Test
    void paymentOfWhichNoByteWasWrittenIsSentToAnotherTarget() {
        fixture.call("pay");
        FleetEffect.StartAttempt first = fixture.only(FleetEffect.StartAttempt.class);

        failConnection(first.attempt(), false);

        assertThat(fixture.only(FleetEffect.StartAttempt.class).target().id())
                .isNotEqualTo(first.target().id());
    }

    @Test
    void paymentThatATargetStatesNotExecutedIsSentToAnotherTarget() {
        fixture.call("pay");

        fixture.answer(started(), 503, true);

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    @Test
    void rejectionStatusWithoutNotExecutedStatementIsNotRelayed() {
        fixture.call("pay");

        fixture.answer(started(), 503, false);

        assertThat(refused().refusal().code()).isEqualTo(RefusalCode.TARGET_FAILED);
        assertThat(fixture.all(FleetEffect.RelayAnswer.class)).isEmpty();
    }

    @Test
    void errorAnswerToAPaymentIsRelayedUnchanged() {
        fixture.call("pay");
        AttemptId attempt = started();

        fixture.answer(attempt, 500, false);

        assertThat(fixture.only(FleetEffect.RelayAnswer.class).attempt()).isEqualTo(attempt);
    }

    @Test
    void failedReadIsRetriedAtAnotherTarget() {
        fixture.call("read");

        fixture.answer(started(), 500, false);

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    @Test
    void readIsExecutedNoMoreOftenThanTheRouteAllows() {
        fixture.call("read");
        fixture.answer(started(), 500, false);

        fixture.answer(started(), 500, false);

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).isEmpty();
        assertThat(fixture.all(FleetEffect.RelayAnswer.class)).hasSize(1);
    }

    @Test
    void streamThatBreaksIsResumedElsewhereIfItsRouteAllows() {
        fixture.chat("letter", "m1");
        AttemptId attempt = started();
        fixture.answer(attempt, 200, false);

        failConnection(attempt, true);

        assertThat(fixture.only(FleetEffect.StartAttempt.class).resumable()).isTrue();
    }

    // Guards against the text of an error in the middle of a stream that another engine began.
    @Test
    void answerThatIsNoStreamDoesNotContinueOne() {
        fixture.chat("letter", "m1");
        AttemptId first = started();
        fixture.answer(first, 200, false);
        failConnection(first, true);

        fixture.answer(started(), 400, false);

        assertThat(fixture.all(FleetEffect.RelayAnswer.class)).isEmpty();
        assertThat(fixture.all(FleetEffect.CancelAttempt.class)).hasSize(1);
        assertThat(fixture.all(FleetEffect.BreakAnswer.class)).hasSize(1);
    }

    @Test
    void brokenStreamOfAnotherRouteIsNotCompleted() {
        fixture.chat("chat", "m1");
        AttemptId attempt = started();
        fixture.answer(attempt, 200, false);

        failConnection(attempt, true);

        assertThat(fixture.all(FleetEffect.BreakAnswer.class)).hasSize(1);
        assertThat(fixture.all(FleetEffect.StartAttempt.class)).isEmpty();
    }

    @Test
    void failedAttemptIsLoggedWithItsWaitAndThePartsOfItsPrompt() {
        fixture.chat("letter", "m1");
        AttemptId attempt = started();
        fixture.advance(50);

        failConnection(attempt, true);

        FleetEffect.Note failed = fixture.all(FleetEffect.Note.class).getFirst();
        assertThat(failed.event()).isEqualTo("attempt_failed");
        assertThat(failed.fields())
                .containsSequence("waited_ms", "50", "answer_begun", "false", "prompt_parts", "1:100");
    }

    @Test
    void eventOfAnEarlierAttemptIsIgnored() {
        fixture.call("read");
        AttemptId first = started();
        fixture.answer(first, 500, false);

        failConnection(first, true);

        assertThat(fixture.effects).isEmpty();
    }

    @Test
    void requestOfACallerThatLeftIsCancelled() {
        long request = fixture.chat("chat", "m1");
        AttemptId attempt = started();

        fixture.apply(new FleetEvent.CallerLeft(fixture.nowMillis, request));

        assertThat(fixture.only(FleetEffect.CancelAttempt.class).attempt()).isEqualTo(attempt);
        assertThat(fixture.state.requests()).isEmpty();
        assertThat(fixture.state.targets().values())
                .allMatch(target -> target.outstanding().isEmpty());
    }

    @Test
    void paymentOfACallerThatLeftIsNotCancelled() {
        long request = fixture.call("pay");

        fixture.apply(new FleetEvent.CallerLeft(fixture.nowMillis, request));

        assertThat(fixture.all(FleetEffect.CancelAttempt.class)).isEmpty();
    }

    @Test
    void requestWithoutAnswerEndsAtItsRoutesTimeoutAsUnknown() {
        fixture.call("pay");

        fixture.advance(4_000);

        assertThat(refused().refusal().code()).isEqualTo(RefusalCode.DEADLINE_EXCEEDED);
        assertThat(refused().refusal().ran()).isEqualTo(ExecutionStatus.UNKNOWN);
        assertThat(fixture.all(FleetEffect.CancelAttempt.class)).hasSize(1);
    }

    @Test
    void retriesStayWithinTheBudget() {
        int retries = 0;
        for (int request = 0; request < 100; request++) {
            fixture.call("read");
            if (!fixture.all(FleetEffect.StartAttempt.class).isEmpty()) {
                failConnection(started(), true);
                retries += fixture.all(FleetEffect.StartAttempt.class).size();
            }
        }

        FleetBoundsView bounds = new FleetBoundsView();
        assertThat(retries).isLessThanOrEqualTo((int) (bounds.slack() + 100 * bounds.ratio()));
    }

    /** Guards against refusals while other targets serve, because a lost one has to be paid for from the budget. */
    @Test
    void attemptThatReachesNoTargetNeedsNoBudget() {
        useUpBudget();
        fixture.call("read");
        FleetEffect.StartAttempt first = fixture.only(FleetEffect.StartAttempt.class);

        fixture.apply(
                new FleetEvent.AttemptFailed(fixture.nowMillis, first.attempt(), AttemptFailure.CONNECT_FAILED, false));

        assertThat(fixture.only(FleetEffect.StartAttempt.class).target().id())
                .isNotEqualTo(first.target().id());
    }

    @Test
    void attemptThatATargetRejectsNeedsBudget() {
        useUpBudget();
        fixture.call("read");

        fixture.answer(started(), 503, true);

        assertThat(refused().refusal().code()).isEqualTo(RefusalCode.NO_CAPACITY);
    }

    private void useUpBudget() {
        fixture.state = fixture.state.with("payments", new RetryBudget(0, fixture.nowMillis));
    }

    private record FleetBoundsView() {
        double slack() {
            return FleetFixture.BOUNDS.retrySlack();
        }

        double ratio() {
            return FleetFixture.BOUNDS.retryRatio();
        }
    }

    private void permissionEnds(AttemptId attempt) {
        fixture.apply(new FleetEvent.AttemptFailed(fixture.nowMillis, attempt, AttemptFailure.PERMISSION_ENDED, false));
    }

    @Test
    void permissionToSendEndsWithTheLatestReadOfTheConfiguration() {
        fixture.call("pay");

        FleetEffect.StartAttempt start = fixture.only(FleetEffect.StartAttempt.class);

        assertThat(start.sendUntilMillis()).isGreaterThan(fixture.nowMillis);
        assertThat(start.sendUntilMillis()).isLessThanOrEqualTo(fixture.nowMillis + FleetFixture.BOUNDS.revokeMillis());
    }

    @Test
    void requestWhosePermissionEndedBeforeItWasSentIsRefusedIfTheConfigurationIsOld() {
        fixture.call("endless");
        AttemptId attempt = started();
        fixture.nowMillis += FleetFixture.BOUNDS.revokeMillis();

        permissionEnds(attempt);

        assertThat(refused().refusal().code()).isEqualTo(RefusalCode.HOST_ISOLATED);
        assertThat(refused().refusal().ran()).isEqualTo(ExecutionStatus.NO);
    }

    @Test
    void requestWhosePermissionEndedIsSentAgainIfTheConfigurationIsFresh() {
        fixture.call("pay");
        AttemptId attempt = started();
        fixture.advanceWithStoreReads(100);

        permissionEnds(attempt);

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    @Test
    void requestWhosePermissionEndedIsRefusedAfterItsDeadline() {
        fixture.call("pay");
        AttemptId attempt = started();
        fixture.nowMillis += 4_000;
        fixture.read(Feed.CONFIGURATION, fixture.nowMillis);

        permissionEnds(attempt);

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).isEmpty();
        assertThat(refused().refusal().ran()).isEqualTo(ExecutionStatus.NO);
    }

    @Test
    void requestThatMayHaveRunIsRefusedAsUnknownIfTheConfigurationIsOld() {
        fixture.call("read");
        AttemptId attempt = started();
        fixture.nowMillis += 3_900;
        fixture.state = fixture.state.with(FleetFixture.boundsWithRevocation(2_000));

        failConnection(attempt, true);

        assertThat(refused().refusal().ran()).isEqualTo(ExecutionStatus.UNKNOWN);
    }
}
