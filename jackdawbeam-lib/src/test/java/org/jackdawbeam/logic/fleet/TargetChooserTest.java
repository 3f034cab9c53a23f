package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;
import org.junit.jupiter.api.Test;

class TargetChooserTest {
    private final FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"));

    private AttemptId started() {
        return fixture.only(FleetEffect.StartAttempt.class).attempt();
    }

    private void fail(AttemptId attempt) {
        fixture.answer(attempt, 500, false);
        fixture.apply(new FleetEvent.AttemptCompleted(fixture.nowMillis, attempt, 0));
    }

    private void failConnection(AttemptId attempt) {
        fixture.apply(new FleetEvent.AttemptFailed(fixture.nowMillis, attempt, AttemptFailure.CONNECTION_LOST, true));
    }

    @Test
    void onlyEngineOfAModelIsUsedDespiteManyFailures() {
        for (int number = 0; number < 8; number++) {
            fixture.chat("chat", "m1");
            fail(started());
            fixture.advanceWithStoreReads(200);
        }

        fixture.chat("chat", "m1");

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    @Test
    void engineThatHasFailedRequestsIsUsedLast() {
        fixture.chat("chat", "m1");
        fail(started());
        fixture.listTargets(FleetFixture.engine("e1", "m1"), FleetFixture.engine("e22", "m1"));

        fixture.chat("chat", "m1");

        assertThat(fixture.only(FleetEffect.StartAttempt.class).target().id()).isEqualTo("e22");
    }

    @Test
    void onlyEngineIsUsedAfterOneLostConnection() {
        fixture.chat("chat", "m1");
        failConnection(started());

        fixture.chat("chat", "m1");

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    @Test
    void consecutiveLostConnectionsLeadToARefusal() {
        fixture.chat("chat", "m1");
        failConnection(started());
        fixture.chat("chat", "m1");
        failConnection(started());

        fixture.chat("chat", "m1");

        assertThat(fixture.only(FleetEffect.RefuseRequest.class).refusal().code())
                .isEqualTo(RefusalCode.QUEUE_FULL);
    }
}
