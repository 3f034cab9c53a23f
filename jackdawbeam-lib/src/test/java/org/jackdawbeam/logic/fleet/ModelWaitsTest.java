package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ModelWaitsTest {
    private static final DemandKey MODEL = new DemandKey("engines", "m1");

    @Test
    void modelKeepsItsPlaceWhileItsCallersPause() {
        ModelWaits waits = ModelWaits.none().withAsked(MODEL, 1_000).without(key -> false, 20_000);

        assertThat(waits.withAsked(MODEL, 20_000).millis(MODEL, 21_000)).isEqualTo(20_000);
    }

    @Test
    void waitEndsWhenAnEngineHoldsTheModel() {
        ModelWaits waits = ModelWaits.none().withAsked(MODEL, 1_000).without(MODEL::equals, 2_000);

        assertThat(waits.millis(MODEL, 3_000)).isZero();
    }

    @Test
    void modelThatNobodyAsksForIsForgotten() {
        ModelWaits waits = ModelWaits.none().withAsked(MODEL, 1_000).without(key -> false, 60_000);

        assertThat(waits.byModel()).isEmpty();
    }
}
