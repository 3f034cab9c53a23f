package org.jackdawbeam.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class FaultPlanTest {
    private static final long MINUTE_MILLIS = 60_000;

    @Test
    void equalSeedsGiveEqualPlans() {
        assertThat(FaultPlan.generate(7, MINUTE_MILLIS)).isEqualTo(FaultPlan.generate(7, MINUTE_MILLIS));
        assertThat(FaultPlan.generate(7, MINUTE_MILLIS)).isNotEqualTo(FaultPlan.generate(8, MINUTE_MILLIS));
    }

    @Test
    void faultsOverlap() {
        List<Fault> plan = FaultPlan.generate(1, MINUTE_MILLIS);

        boolean overlapping = false;
        for (int number = 1; number < plan.size(); number++) {
            Fault before = plan.get(number - 1);
            overlapping |= before.atMillis() + before.durationMillis()
                    > plan.get(number).atMillis();
        }
        assertThat(overlapping).isTrue();
    }

    @Test
    void everyKindIsDrawn() {
        assertThat(FaultPlan.generate(1, 60 * MINUTE_MILLIS).stream().map(Fault::kind))
                .contains(FaultKind.values());
    }
}
