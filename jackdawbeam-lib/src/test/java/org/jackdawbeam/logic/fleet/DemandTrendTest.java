package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.jackdawbeam.model.fleet.FleetMessage.ModelDemand;
import org.junit.jupiter.api.Test;

/** Load pattern: a model with a request every few seconds beside models with constant demand. */
class DemandTrendTest {
    private static final DemandKey RARE = new DemandKey("engines", "rare");

    private static Map<DemandKey, ModelDemand> currentDemand(double tokensPerSecond) {
        return Map.of(RARE, new ModelDemand("engines", "rare", tokensPerSecond, 0, 600, 0));
    }

    private static DemandTrend steadyDemand() {
        DemandTrend trend = DemandTrend.none().updated(currentDemand(1_000), 0);
        for (long now = 100; now <= 10_000; now += 100) {
            trend = trend.updated(currentDemand(1_000), now);
        }
        return trend;
    }

    @Test
    void recentDemandForAModelIsRemembered() {
        DemandTrend trend = steadyDemand().updated(Map.of(), 13_000);

        DemandEstimate estimate = trend.estimates("engines", Map.of(), 13_000).get("rare");

        assertThat(estimate.tokensPerSecond()).isZero();
        assertThat(estimate.longTermTokensPerSecond()).isBetween(500.0, 1_000.0);
    }

    @Test
    void demandForAnUnusedModelDecays() {
        DemandTrend trend = steadyDemand();
        for (long now = 10_100; now <= 130_000; now += 100) {
            trend = trend.updated(Map.of(), now);
        }

        assertThat(trend.estimates("engines", Map.of(), 130_000).get("rare").longTermTokensPerSecond())
                .isLessThan(10);
    }

    @Test
    void singleRequestsAreNotEnoughHistory() {
        DemandTrend trend = DemandTrend.none().updated(currentDemand(3_000), 1_000);

        assertThat(trend.hasEnoughHistory(1_200)).isFalse();
        assertThat(trend.underestimationFactor(1_200)).isGreaterThan(5);
        assertThat(trend.hasEnoughHistory(2_000)).isTrue();
    }
}
