package org.jackdawbeam.logic.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class BudgetLimitsTest {
    private static final long MEGABYTE = 1024 * 1024;

    // The load: clients that hold more than the smallest host of the deployments has.
    @Test
    void whatIsHeldAndItsCopiesFitIntoTheSmallestHost() {
        long heap = 160 * MEGABYTE;
        long memory = 290 * MEGABYTE;

        BudgetLimits limits = BudgetLimits.of(heap, OptionalLong.of(memory), OptionalInt.of(2_212));

        assertThat(limits.bytes()).isLessThan(heap / 2);
        assertThat(2 * limits.bytes()).isLessThanOrEqualTo(memory - heap);
        assertThat(limits.connections()).isLessThan(2_212 - 200);
    }

    @Test
    void largestRequestFitsWhereSettingsTellNothing() {
        BudgetLimits limits = BudgetLimits.of(64 * MEGABYTE, OptionalLong.empty(), OptionalInt.empty());

        assertThat(limits.allows(5 * MEGABYTE, 5 * MEGABYTE)).isTrue();
        assertThat(limits.connections()).isEqualTo(Integer.MAX_VALUE);
    }

    // The load: a few clients with large requests, who leave nothing to ordinary ones.
    @Test
    void smallRequestsHaveAShareThatLargeOnesCannotTake() {
        BudgetLimits limits = new BudgetLimits(50 * MEGABYTE, 100);

        assertThat(limits.allows(45 * MEGABYTE, 4 * MEGABYTE)).isFalse();
        assertThat(limits.allows(45 * MEGABYTE, 4_096)).isTrue();
        assertThat(limits.allows(51 * MEGABYTE, 4_096)).isFalse();
    }
}
