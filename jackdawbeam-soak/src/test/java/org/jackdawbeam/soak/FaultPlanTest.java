package org.jackdawbeam.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class FaultPlanTest {
    private static final long MINUTE_MILLIS = 60_000;

    @Test
    void equalSeedsGiveEqualPlans() {
        assertThat(FaultPlan.draw(7, MINUTE_MILLIS)).isEqualTo(FaultPlan.draw(7, MINUTE_MILLIS));
        assertThat(FaultPlan.draw(7, MINUTE_MILLIS)).isNotEqualTo(FaultPlan.draw(8, MINUTE_MILLIS));
    }

    @Test
    void faultsOverlap() {
        List<Fault> plan = FaultPlan.draw(1, MINUTE_MILLIS);

        boolean overlapping = false;
        for (int number = 1; number < plan.size(); number++) {
            Fault before = plan.get(number - 1);
            overlapping |=
                    before.atMillis() + before.forMillis() > plan.get(number).atMillis();
        }
        assertThat(overlapping).isTrue();
    }

    @Test
    void everyKindIsDrawn() {
        assertThat(FaultPlan.draw(1, 60 * MINUTE_MILLIS).stream().map(Fault::kind))
                .contains(FaultKind.values());
    }
}
