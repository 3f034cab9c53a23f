package org.jackdawbeam.net.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.logic.fleet.FleetEffect.StartAttempt;
import org.jackdawbeam.logic.fleet.RequestTraits;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.request.AttemptId;
import org.junit.jupiter.api.Test;

class AttemptTraceTest {
    private final AttemptTrace trace = new AttemptTrace(new StartAttempt(
            new AttemptId(1, 1),
            "request-1",
            new TargetDescription("t", "s", "127.0.0.1:1", "z", 4, false, Set.of(), Set.of(), 1, 0),
            10_000,
            10_000,
            Optional.empty(),
            0,
            false,
            10,
            100,
            0,
            new RequestTraits("r", "-", "m", "-", 100, 10, 600, List.of())));

    @Test
    void answerInOnePartHasNoPause() {
        trace.relayed(100, 5_000);

        assertThat(trace.longestPauseMillis()).isZero();
    }

    /** Guards against a long pause in the middle that the last, shorter one replaces. */
    @Test
    void longestOfThePausesBetweenPartsIsKept() {
        trace.relayed(100, 5_000);
        trace.relayed(100, 5_060);
        trace.relayed(100, 5_760);
        trace.relayed(100, 5_820);

        assertThat(trace.longestPauseMillis()).isEqualTo(700);
    }
}
