package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.QuarantineReport;
import org.jackdawbeam.model.fleet.QuarantineScope;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptFailure;
import org.junit.jupiter.api.Test;

class QuarantineFlowTest {
    private static final long BAD = 0xbad;
    private static final QuarantinedGroup BAD_GROUP = new QuarantinedGroup(QuarantineScope.PROMPT_PARTS, Set.of(BAD));
    private static final QuarantineReport BAD_IS_QUARANTINED = new QuarantineReport(
            List.of(),
            List.of(new QuarantineReport.QuarantinedParts(
                    QuarantineScope.PROMPT_PARTS, List.of(BAD), 0, false, 30_000)),
            Optional.empty());

    private final FleetFixture fixture = FleetFixture.serving(
            FleetFixture.engine("e1", "m1"),
            FleetFixture.engine("e22", "m1"),
            FleetFixture.engine("e333", "m1"),
            FleetFixture.engine("e4444", "m1"));

    private FleetEffect.StartAttempt started() {
        return fixture.only(FleetEffect.StartAttempt.class);
    }

    private FleetEffect.RefuseRequest refused() {
        return fixture.only(FleetEffect.RefuseRequest.class);
    }

    private void lose(FleetEffect.StartAttempt attempt) {
        fixture.nowMillis += 50;
        fixture.apply(new FleetEvent.AttemptFailed(
                fixture.nowMillis, attempt.attempt(), AttemptFailure.CONNECTION_LOST, true));
    }

    private void hear(String peer, QuarantineReport report) {
        fixture.receive(new FleetMessage.Digest(
                peer,
                FleetFixture.member(peer),
                0,
                true,
                false,
                Optional.empty(),
                List.of(),
                List.of(),
                Optional.of(report)));
    }

    @Test
    void requestIsRepeatedOnlyUntilTwoEnginesWereLostUnderOneOfItsParts() {
        fixture.prompt("letter", BAD);
        lose(started());
        lose(started());
        assertThat(refused().refusal().ran()).isEqualTo(ExecutionStatus.UNKNOWN);
        fixture.prompt("letter", BAD);

        lose(started());

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).isEmpty();
        assertThat(refused().refusal().code()).isEqualTo(RefusalCode.TARGET_FAILED);
    }

    private void loseThreeEngines() {
        fixture.prompt("letter", BAD);
        lose(started());
        lose(started());
        fixture.prompt("letter", BAD);
        lose(started());
    }

    @Test
    void thirdLossUnderASecondRequestQuarantinesThePart() {
        loseThreeEngines();

        fixture.prompt("chat", 5, BAD);

        assertThat(refused().refusal().code()).isEqualTo(RefusalCode.PROMPT_QUARANTINED);
        assertThat(refused().refusal().ran()).isEqualTo(ExecutionStatus.NO);
        assertThat(refused().refusal().retryAfterMillis().orElseThrow()).isGreaterThan(20_000);
    }

    @Test
    void lastPartOfAPromptIsNeverBlocked() {
        loseThreeEngines();

        fixture.promptEndingWith(BAD, "chat", 5);

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    @Test
    void attemptsUnderWayAreCancelledWhenTheirPartsAreQuarantined() {
        fixture.prompt("chat", BAD);
        FleetEffect.StartAttempt attempt = started();

        hear("b", BAD_IS_QUARANTINED);

        assertThat(fixture.only(FleetEffect.CancelAttempt.class).attempt()).isEqualTo(attempt.attempt());
        assertThat(refused().refusal().ran()).isEqualTo(ExecutionStatus.UNKNOWN);
        assertThat(fixture.state.requests()).isEmpty();
    }

    @Test
    void answerThatHasBegunIsNotCancelledAndReleasesItsParts() {
        fixture.prompt("chat", BAD);
        FleetEffect.StartAttempt attempt = started();
        fixture.answer(attempt.attempt(), 200, false);
        fixture.apply(new FleetEvent.AttemptStreaming(fixture.nowMillis, attempt.attempt()));
        hear("b", BAD_IS_QUARANTINED);
        assertThat(fixture.all(FleetEffect.CancelAttempt.class)).isEmpty();

        fixture.apply(new FleetEvent.AttemptStreaming(fixture.nowMillis, attempt.attempt()));

        assertThat(fixture.state.quarantine().activeGroups()).isEmpty();
    }

    @Test
    void refusedRequestTakesNoUnitsOfItsWorkspace() {
        hear("b", BAD_IS_QUARANTINED);
        int before = fixture.state.buckets().size();

        fixture.prompt("chat", BAD);

        assertThat(fixture.state.buckets()).hasSize(before);
        assertThat(fixture.all(FleetEffect.SendPeerMessage.class)).isEmpty();
    }

    @Test
    void engineThatIsLeavingIsNoEvidence() {
        fixture.prompt("chat", BAD);
        FleetEffect.StartAttempt attempt = started();
        fixture.receive(new FleetMessage.TargetLeaving("b", attempt.target().id(), 7));

        lose(attempt);

        assertThat(fixture.state.quarantine().losses()).isEmpty();
    }

    @Test
    void releaseByAnOperatorIsToldToThePeers() {
        hear("b", BAD_IS_QUARANTINED);

        fixture.apply(new FleetEvent.ReleaseRequested(fixture.nowMillis, BAD_GROUP));
        fixture.advance(50);

        assertThat(fixture.all(FleetEffect.SendPeerMessage.class))
                .extracting(FleetEffect.SendPeerMessage::message)
                .filteredOn(FleetMessage.Digest.class::isInstance)
                .allMatch(message -> ((FleetMessage.Digest) message)
                        .quarantine()
                        .orElseThrow()
                        .quarantined()
                        .getFirst()
                        .released())
                .isNotEmpty();
    }

    // Guards against a released group that comes back from the store after the entry that wrote it has gone.
    @Test
    void groupReleasedByAnotherEntryIsRemovedFromTheStore() {
        hear("b", BAD_IS_QUARANTINED);
        fixture.state = fixture.state.withPeers(fixture.state.peers().minus("b"));
        fixture.apply(new FleetEvent.ReleaseRequested(fixture.nowMillis, BAD_GROUP));

        fixture.advance(50);

        assertThat(fixture.only(FleetEffect.StoreQuarantine.class).parts().released())
                .isTrue();
    }

    @Test
    void trialIsToldToThePeersAndStored() {
        loseThreeEngines();
        fixture.receiveHeartbeat("b");
        fixture.advance(50);
        fixture.nowMillis += 40_000;
        fixture.configure(FleetFixture.configuration(2, FleetFixture.KEY));
        fixture.state = fixture.state.withPeers(fixture.state.peers().minus("b"));

        fixture.prompt("chat", BAD);
        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
        fixture.prompt("chat", BAD);
        assertThat(refused().refusal().code()).isEqualTo(RefusalCode.PROMPT_QUARANTINED);
        fixture.advance(50);

        assertThat(fixture.only(FleetEffect.StoreQuarantine.class).parts().trials())
                .isEqualTo(1);
        assertThat(PeerFlow.quarantine(fixture.state, fixture.nowMillis + 250)
                        .orElseThrow()
                        .quarantined())
                .extracting(QuarantineReport.QuarantinedParts::trials)
                .contains(1);
    }

    @Test
    void heartbeatsSayNothingWhileThereIsNoEvidence() {
        fixture.receiveHeartbeat("b");

        fixture.advance(300);

        assertThat(fixture.all(FleetEffect.SendPeerMessage.class))
                .extracting(FleetEffect.SendPeerMessage::message)
                .filteredOn(FleetMessage.Digest.class::isInstance)
                .allMatch(
                        message -> ((FleetMessage.Digest) message).quarantine().isEmpty());
    }

    // Guards against a failing service that clears a request which it has not run.
    @Test
    void onlyAnAnswerWithoutAnErrorClearsARequestToAService() {
        FleetFixture services = FleetFixture.serving(FleetFixture.service("s1"));
        services.call("pay");
        services.answer(services.only(FleetEffect.StartAttempt.class).attempt(), 500, false);
        long answered = services.call("pay");

        services.answer(services.only(FleetEffect.StartAttempt.class).attempt(), 200, false);

        assertThat(services.state.quarantine(QuarantineScope.REQUESTS).answeredAtMillis())
                .containsOnlyKeys(answered);
    }
}
