package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.Route;
import org.junit.jupiter.api.Test;

/** Load pattern: a short burst of more prompts than engines can process within the objective. */
class AdmissionTest {
    private static final long OBJECTIVE_MILLIS = 600; // of the chat route
    private static final long TYPICAL_MILLIS = 100; // prefill time of a prompt

    private final FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"));

    private FleetRequest request() {
        FleetConfiguration configuration = fixture.state.configuration().orElseThrow();
        Route route = configuration.route("host", "/chat/x").orElseThrow();
        fixture.arrive("chat", FleetFixture.KEY, Optional.of("m1"), Optional.empty(), 100);
        FleetRequest request = fixture.state.requests().values().iterator().next();
        assertThat(route.objectiveMillis()).isEqualTo(OBJECTIVE_MILLIS);
        return request;
    }

    private Admission.Verdict judge(FleetRequest request, long estimateMillis, long lateMillis, long waitedMillis) {
        return judge(request, TYPICAL_MILLIS, estimateMillis, lateMillis, waitedMillis);
    }

    private Admission.Verdict judge(
            FleetRequest request, long ownMillis, long estimateMillis, long lateMillis, long waitedMillis) {
        TargetChooser.Choice choice = new TargetChooser.Choice(
                fixture.state.targets().get("e1"), 100, 0, ownMillis, estimateMillis, lateMillis, 0, 0, 0);
        return Admission.judge(request, choice, TYPICAL_MILLIS, request.arrivedAtMillis() + waitedMillis);
    }

    @Test
    void requestThatCanMeetItsObjectiveIsSent() {
        assertThat(judge(request(), OBJECTIVE_MILLIS, 5_000, 0)).isInstanceOf(Admission.Verdict.InTime.class);
    }

    @Test
    void waitingTimeCountsTowardsTheObjective() {
        assertThat(judge(request(), 200, 200, OBJECTIVE_MILLIS - 100)).isInstanceOf(Admission.Verdict.Late.class);
    }

    @Test
    void lateRequestIsSentBehindOthers() {
        assertThat(judge(request(), OBJECTIVE_MILLIS + 1, 1_500, 0)).isInstanceOf(Admission.Verdict.Late.class);
    }

    @Test
    void requestThatWouldWaitTooLongIsRefusedWithARetryTime() {
        Admission.Verdict verdict = judge(request(), 1_600, 2_500, 0);

        assertThat(verdict).isEqualTo(new Admission.Verdict.TooLate(1_000));
    }

    /** Guards against long prompts never meeting their objective because short ones fill the queue to the bound. */
    @Test
    void halfOfTheExtraPrefillTimeOfALongPromptCounts() {
        assertThat(judgeLong(700, 700)).isInstanceOf(Admission.Verdict.InTime.class);
        assertThat(judgeLong(701, 701)).isInstanceOf(Admission.Verdict.Late.class);
        assertThat(judgeLong(2_100, 2_099)).isInstanceOf(Admission.Verdict.Late.class);
        assertThat(judgeLong(2_100, 2_100)).isInstanceOf(Admission.Verdict.TooLate.class);
    }

    private Admission.Verdict judgeLong(long estimateMillis, long lateMillis) {
        FleetRequest request = request();
        return judge(request, TYPICAL_MILLIS + 200, estimateMillis, lateMillis, 0);
    }

    @Test
    void longPromptThatCannotBeginBeforeTheDeadlineIsRefused() {
        FleetRequest request = request();
        long leftMillis = request.expiresAtMillis() - request.arrivedAtMillis();
        long waitedMillis = leftMillis - 1_000;

        assertThat(judge(request, TYPICAL_MILLIS + 800, 1_000, 1_000, waitedMillis))
                .isInstanceOf(Admission.Verdict.TooLate.class);
    }
}
