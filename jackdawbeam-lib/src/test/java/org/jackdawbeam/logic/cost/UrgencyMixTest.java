package org.jackdawbeam.logic.cost;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class UrgencyMixTest {
    private static UrgencyMix mix(int... priorities) {
        UrgencyMix mix = UrgencyMix.unknown();
        for (int round = 0; round < 30; round++) {
            for (int priority : priorities) {
                mix = mix.withSent(priority, 1_000);
            }
        }
        return mix;
    }

    @Test
    void onlyWorkWithAMuchLongerObjectiveAndLessUrgencyIsPatient() {
        UrgencyMix mix = mix(1);

        assertThat(mix.isPatient(2, 15_000)).isTrue();
        assertThat(mix.isPatient(2, 3_000)).isFalse();
        assertThat(mix.isPatient(1, 15_000)).isFalse();
        assertThat(mix.isPatient(0, 15_000)).isFalse();
    }

    @Test
    void lateRequestsOfMoreUrgentKindsGoBeforeOtherLateOnes() {
        assertThat(mix(1).yieldingPriority(1)).isEqualTo(9);
        assertThat(mix(0, 1, 2).yieldingPriority(0)).isEqualTo(7);
        assertThat(mix(0, 1, 2, 3, 4, 5).yieldingPriority(0)).isEqualTo(7);
    }
}
