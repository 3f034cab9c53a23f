package org.jackdawbeam.logic.cost;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class UrgencyMixTest {
    private static UrgencyMix mix(int... priorities) {
        UrgencyMix mix = UrgencyMix.unknown();
        for (int priority : priorities) {
            mix = mix.withSent(priority);
        }
        return mix;
    }

    @Test
    void lateRequestsOfMoreUrgentKindsGoBeforeOtherLateOnes() {
        assertThat(mix(1).latePriority(1)).isEqualTo(9);
        assertThat(mix(0, 1, 2).latePriority(0)).isEqualTo(7);
        assertThat(mix(0, 1, 2, 3, 4, 5).latePriority(0)).isEqualTo(7);
    }
}
