package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.refusal.Ran;
import org.junit.jupiter.api.Test;

class StopFlowTest {
    private static final long LEAVING_MILLIS = 3_000;
    private final FleetFixture fixture = FleetFixture.serving(FleetFixture.service("s1"));

    private void stop() {
        fixture.apply(new FleetEvent.StopRequested(fixture.nowMillis));
    }

    @Test
    void stoppingEntryIsNotReadyAndTellsTheOthersAtOnce() {
        fixture.hear("b");

        stop();

        assertThat(FleetDirectory.isReady(fixture.state, fixture.nowMillis)).isFalse();
        assertThat(fixture.all(FleetEffect.SendPeerMessage.class))
                .anyMatch(sent -> sent.message() instanceof FleetMessage.Digest digest && digest.leaving());
    }

    @Test
    void directoryDoesNotNameALeavingPeer() {
        fixture.hear("b");
        var leaving = new FleetMessage.Digest(
                "b", FleetFixture.member("b"), 0, true, true, Optional.empty(), List.of(), List.of());

        fixture.hear(leaving);

        assertThat(FleetDirectory.addresses(fixture.state, fixture.nowMillis)).containsExactly("a:2");
    }

    @Test
    void callersThatStillHoldTheAddressAreServed() {
        stop();
        fixture.advanceInContact(LEAVING_MILLIS - 100);

        fixture.call("pay");

        assertThat(fixture.all(FleetEffect.StartAttempt.class)).hasSize(1);
    }

    @Test
    void stopEndsAlsoWhileCallersKeepCalling() {
        stop();
        boolean exited = false;
        for (long passed = 0; passed < FleetFixture.BOUNDS.graceMillis() && !exited; passed += 50) {
            fixture.call("pay");
            fixture.advanceInContact(50);
            exited = !fixture.all(FleetEffect.Exit.class).isEmpty();
        }

        assertThat(exited).isTrue();
    }

    @Test
    void lateCallerIsToldTrulyThatNothingRan() {
        stop();
        fixture.advanceInContact(LEAVING_MILLIS + 100);

        fixture.call("pay");

        assertThat(fixture.only(FleetEffect.RefuseRequest.class).refusal().ran())
                .isEqualTo(Ran.NO);
    }

    @Test
    void entryWithoutOpenRequestsExitsBeforeItsTimeIsUp() {
        stop();

        fixture.advanceInContact(LEAVING_MILLIS + 500);

        assertThat(fixture.state.stop()).isInstanceOf(StopStage.Stopped.class);
    }
}
