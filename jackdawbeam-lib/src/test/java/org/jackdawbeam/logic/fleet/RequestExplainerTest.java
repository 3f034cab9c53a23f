package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.logic.explain.Explanation;
import org.jackdawbeam.logic.explain.Explanation.CandidateState;
import org.jackdawbeam.logic.explain.Explanation.Outcome;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.junit.jupiter.api.Test;

class RequestExplainerTest {
    private final FleetFixture fixture = FleetFixture.serving(
            FleetFixture.engine("e1", "m1"), FleetFixture.engine("e22", "m1"), FleetFixture.engine("e333", "m2"));

    private Explanation explain(String path, String key, String model) {
        CallerRequest call = new CallerRequest(
                "explained",
                "host",
                path,
                Optional.of(key),
                4_000,
                Optional.of(model),
                Optional.empty(),
                100,
                10,
                true,
                List.of(),
                0);
        return new RequestExplainer(fixture.reducer).explain(fixture.state, call, fixture.nowMillis);
    }

    @Test
    void namesTheTargetThatTheNextRequestIsSentTo() {
        fixture.chat("chat", "m1");
        Explanation explanation = explain("/chat/x", FleetFixture.KEY, "m1");
        fixture.chat("chat", "m1");

        String sentTo = fixture.effects.stream()
                .filter(FleetEffect.StartAttempt.class::isInstance)
                .map(effect -> ((FleetEffect.StartAttempt) effect).target().id())
                .findFirst()
                .orElseThrow();
        assertThat(explanation.outcome())
                .isInstanceOfSatisfying(
                        Outcome.Sent.class, sent -> assertThat(sent.target()).isEqualTo(sentTo));
        assertThat(explanation.candidates().getFirst().target()).isEqualTo(sentTo);
        assertThat(explanation.candidates().getLast().state()).isEqualTo(CandidateState.WITHOUT_MODEL);
    }

    @Test
    void nextRequestIsTreatedAsIfNothingHadBeenExplained() {
        FleetFixture untouched = FleetFixture.serving(
                FleetFixture.engine("e1", "m1"), FleetFixture.engine("e22", "m1"), FleetFixture.engine("e333", "m2"));
        for (int time = 0; time < 20; time++) {
            explain("/chat/x", FleetFixture.KEY, "m1");
            explain("/chat/x", FleetFixture.KEY, "m3");
        }

        fixture.chat("chat", "m1");
        untouched.chat("chat", "m1");

        assertThat(fixture.effects).isEqualTo(untouched.effects);
        assertThat(fixture.state).isEqualTo(untouched.state);
    }

    @Test
    void choosesAmongEqualTargetsAsTheNextRequestDoes() {
        Explanation explanation = explain("/chat/x", FleetFixture.KEY, "m1");

        assertThat(explanation.outcome())
                .isInstanceOfSatisfying(
                        Outcome.Sent.class,
                        sent -> assertThat(explanation.candidates().getFirst().target())
                                .isEqualTo(sent.target()));
    }

    @Test
    void tellsWhyARequestWaitsForItsModel() {
        Explanation explanation = explain("/chat/x", FleetFixture.KEY, "m3");

        assertThat(explanation.outcome()).isEqualTo(new Outcome.Waiting("no engine holds the model"));
        assertThat(explanation.service()).contains("engines");
    }

    @Test
    void tellsWhyARequestIsRefused() {
        assertThat(explain("/unknown/", FleetFixture.KEY, "m1").outcome())
                .isInstanceOfSatisfying(
                        Outcome.Refused.class,
                        refused -> assertThat(refused.code()).isEqualTo("ROUTE_UNKNOWN"));
        assertThat(explain("/chat/x", "other", "m1").outcome())
                .isInstanceOfSatisfying(
                        Outcome.Refused.class,
                        refused -> assertThat(refused.code()).isEqualTo("KEY_UNKNOWN"));
    }

    @Test
    void namesTheEntryThatCountsTheWorkspaceAndAssumesThatItGrants() {
        for (String peer : List.of("b", "c", "d", "e", "f")) {
            fixture.receiveHeartbeat(peer);
        }
        fixture.advance(50);
        Explanation explanation = explain("/chat/x", FleetFixture.KEY, "m1");

        fixture.chat("chat", "m1");

        String asked = fixture.only(FleetEffect.SendPeerMessage.class).address();
        assertThat(explanation
                        .unitsOwner()
                        .map(owner -> FleetFixture.member(owner).peerAddress()))
                .contains(asked);
        assertThat(explanation.outcome()).isInstanceOf(Outcome.Sent.class);
    }
}
