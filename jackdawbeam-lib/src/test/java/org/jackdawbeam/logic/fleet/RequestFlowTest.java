package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.junit.jupiter.api.Test;

class RequestFlowTest {
    private static RefusalCode refusal(FleetFixture fixture) {
        return fixture.only(FleetEffect.RefuseRequest.class).refusal().code();
    }

    @Test
    void requestIsSentToAnEngineThatHoldsItsModel() {
        FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"), FleetFixture.engine("e22", "m2"));

        fixture.chat("chat", "m2");

        FleetEffect.StartAttempt start = fixture.only(FleetEffect.StartAttempt.class);
        assertThat(start.target().id()).isEqualTo("e22");
        assertThat(start.workspace()).contains("w");
        assertThat(start.expiresAtMillis() - fixture.nowMillis).isEqualTo(4_000);
    }

    @Test
    void requestIsRefusedAsNotReadyWithoutConfiguration() {
        FleetFixture fixture = new FleetFixture();

        fixture.call("pay");

        assertThat(refusal(fixture)).isEqualTo(RefusalCode.NOT_READY);
    }

    @Test
    void unknownRouteIsRefused() {
        FleetFixture fixture = FleetFixture.serving(FleetFixture.service("s1"));

        fixture.call("elsewhere");

        assertThat(refusal(fixture)).isEqualTo(RefusalCode.ROUTE_UNKNOWN);
    }

    @Test
    void unknownKeyIsRefused() {
        FleetFixture fixture = FleetFixture.serving(FleetFixture.service("s1"));

        fixture.arrive("pay", "another", Optional.empty(), Optional.empty(), 0);

        assertThat(refusal(fixture)).isEqualTo(RefusalCode.KEY_UNKNOWN);
    }

    @Test
    void modelThatIsNotConfiguredIsRefusedAtOnce() {
        FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"));

        fixture.chat("chat", "m9");

        assertThat(refusal(fixture)).isEqualTo(RefusalCode.MODEL_UNKNOWN);
    }

    @Test
    void keyedRequestIsRefusedWhenAWithdrawalCouldHaveBeenMissed() {
        FleetFixture fixture = FleetFixture.serving(FleetFixture.service("s1"));
        fixture.nowMillis += FleetFixture.BOUNDS.revokeMillis() - FleetTimings.REVOKE_MARGIN;

        fixture.call("pay");

        assertThat(refusal(fixture)).isEqualTo(RefusalCode.HOST_ISOLATED);
        assertThat(fixture.only(FleetEffect.RefuseRequest.class).refusal().ran())
                .isEqualTo(ExecutionStatus.NO);
    }

    @Test
    void freshnessCountsFromTheStartOfTheRead() {
        FleetFixture fixture = FleetFixture.serving(FleetFixture.service("s1"));
        long askedAt = fixture.nowMillis;
        fixture.nowMillis += 3_000;
        fixture.read(Feed.CONFIGURATION, askedAt);
        fixture.nowMillis += 1_400;

        fixture.call("pay");

        assertThat(refusal(fixture)).isEqualTo(RefusalCode.HOST_ISOLATED);
    }

    @Test
    void waitingRequestIsRefusedWhenItsKeyIsWithdrawn() {
        FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        fixture.chat("chat", "m2");

        fixture.configure(FleetFixture.configuration(2));

        assertThat(refusal(fixture)).isEqualTo(RefusalCode.KEY_WITHDRAWN);
    }

    @Test
    void requestIsSentOnlyAfterItsQuotaIsGranted() {
        FleetFixture fixture = withQuotaAtPeer();
        long request = fixture.call("pay");
        FleetEffect.SendPeerMessage question = fixture.only(FleetEffect.SendPeerMessage.class);
        assertThat(question.message()).isInstanceOf(FleetMessage.QuotaQuestion.class);
        assertThat(fixture.all(FleetEffect.StartAttempt.class)).isEmpty();

        fixture.receive(new FleetMessage.QuotaAnswer("b", request, 0, true, 0));

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    /** Returns an entry whose only engine has prompts queued that take the given time to process. */
    private static FleetFixture withQueue(long millis) {
        FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        double promptMillis = fixture.state.prefillStatistics("engines").prefillMillis(2_000);
        for (int queued = 0; queued * promptMillis < millis; queued++) {
            fixture.arrive("chat", FleetFixture.KEY, Optional.of("m1"), Optional.empty(), 2_000);
            fixture.state = fixture.state.with("w", new QuotaBucket(1_000, fixture.nowMillis));
        }
        return fixture;
    }

    @Test
    void lateRequestIsSentAtTheLowestPriority() {
        FleetFixture fixture = withQueue(600);

        fixture.arrive("chat", FleetFixture.KEY, Optional.of("m1"), Optional.empty(), 2_000);

        assertThat(fixture.only(FleetEffect.StartAttempt.class).priority()).isEqualTo(9);
    }

    @Test
    void lateRequestDoesNotDelayOthers() {
        FleetFixture fixture = withQueue(550);
        long before = fixture.state.targets().get("e1").pendingPrefillTokens();
        for (int late = 0; late < 5; late++) {
            fixture.arrive("chat", FleetFixture.KEY, Optional.of("m1"), Optional.empty(), 4_000);
        }

        assertThat(fixture.state.targets().get("e1").latePendingPrefillTokens()).isPositive();
        assertThat(fixture.state.targets().get("e1").pendingPrefillTokens()).isEqualTo(before);
    }

    @Test
    void requestIsRefusedAtOnceWhenTheQueueIsTooLong() {
        FleetFixture fixture = withQueue(600);
        for (int late = 0; late < 30; late++) {
            fixture.arrive("chat", FleetFixture.KEY, Optional.of("m1"), Optional.empty(), 4_000);
            fixture.state = fixture.state.with("w", new QuotaBucket(1_000, fixture.nowMillis));
        }

        assertThat(refusal(fixture)).isEqualTo(RefusalCode.QUEUE_FULL);
        assertThat(fixture.only(FleetEffect.RefuseRequest.class).refusal().retryAfterMillis())
                .isPresent();
    }

    @Test
    void repeatedQuotaAnswerIsIgnored() {
        FleetFixture fixture = withQuotaAtPeer();
        long request = fixture.call("pay");
        fixture.receive(new FleetMessage.QuotaAnswer("b", request, 0, true, 0));

        fixture.receive(new FleetMessage.QuotaAnswer("b", request, 0, true, 0));

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).isEmpty();
    }

    @Test
    void requestOverTheRateIsRefusedWithARetryTime() {
        FleetFixture fixture = withQuotaAtPeer();
        long request = fixture.call("pay");

        fixture.receive(new FleetMessage.QuotaAnswer("b", request, 0, false, 700));

        assertThat(refusal(fixture)).isEqualTo(RefusalCode.OVER_RATE);
        assertThat(fixture.only(FleetEffect.RefuseRequest.class).refusal().retryAfterMillis())
                .hasValue(700);
    }

    @Test
    void requestWhoseUnitsAccrueSoonWaits() {
        FleetFixture fixture = withQuotaAtPeer();
        long request = fixture.call("pay");
        fixture.receive(new FleetMessage.QuotaAnswer("b", request, 0, false, 40));
        assertThat(fixture.all(FleetEffect.RefuseRequest.class)).isEmpty();

        fixture.advance(50);
        assertThat(fixture.all(FleetEffect.SendPeerMessage.class))
                .anyMatch(sent -> sent.message() instanceof FleetMessage.QuotaQuestion);
        fixture.receive(new FleetMessage.QuotaAnswer("b", request, 0, true, 0));

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    // Answers the load of a workspace over its rate, whose requests ask for units several times while they wait.
    @Test
    void requestThatWaitsForUnitsIsLoggedOnce() {
        FleetFixture fixture = withQuotaAtPeer();
        long request = fixture.call("pay");
        fixture.receive(new FleetMessage.QuotaAnswer("b", request, 0, false, 40));
        assertThat(waitNotes(fixture)).isEqualTo(1);

        fixture.advance(50);
        fixture.receive(new FleetMessage.QuotaAnswer("b", request, 0, false, 40));

        assertThat(fixture.all(FleetEffect.RefuseRequest.class)).isEmpty();
        assertThat(waitNotes(fixture)).isZero();
    }

    private static long waitNotes(FleetFixture fixture) {
        return fixture.all(FleetEffect.Note.class).stream()
                .filter(note -> note.event().equals("request_waiting"))
                .count();
    }

    @Test
    void waitForUnitsIsBoundedByTheObjective() {
        FleetFixture fixture = withQuotaAtPeer();
        long request = fixture.call("pay");
        for (int round = 0;
                round < 10 && fixture.all(FleetEffect.RefuseRequest.class).isEmpty();
                round++) {
            fixture.receive(new FleetMessage.QuotaAnswer("b", request, 0, false, 40));
            if (fixture.all(FleetEffect.RefuseRequest.class).isEmpty()) {
                fixture.advance(50);
            }
        }

        assertThat(refusal(fixture)).isEqualTo(RefusalCode.OVER_RATE);
    }

    @Test
    void nextEntryIsAskedWhenTheFirstDoesNotAnswer() {
        FleetFixture fixture = withQuotaAtPeer();
        fixture.call("pay");

        fixture.advance(FleetTimings.QUOTA_ANSWER_TIMEOUT);

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    /** Returns an entry with one peer that owns the quota of the workspace. */
    private static FleetFixture withQuotaAtPeer() {
        for (String peer : new String[] {"b", "c", "d", "e", "f"}) {
            FleetFixture fixture = FleetFixture.serving(FleetFixture.service("s1"));
            fixture.receiveHeartbeat(peer);
            fixture.call("pay");
            if (fixture.all(FleetEffect.StartAttempt.class).isEmpty()) {
                FleetFixture fresh = FleetFixture.serving(FleetFixture.service("s1"));
                fresh.receiveHeartbeat(peer);
                return fresh;
            }
        }
        throw new AssertionError("this entry owns the quota with every peer");
    }
}
