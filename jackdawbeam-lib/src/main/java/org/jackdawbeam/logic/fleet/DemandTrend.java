package org.jackdawbeam.logic.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.jackdawbeam.model.fleet.FleetMessage.ModelDemand;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Demand for models as observed by the placement leader. Entries report the demand of the last few seconds;
 * the trend averages over a longer time, so that a model with rare but steady requests does not count as unused between
 * them.
 *
 * @param averageTokensPerSecond prompt tokens per second by model, averaged over {@link #AVERAGING_MILLIS}
 * @param sinceMillis when this entry first observed demand
 */
record DemandTrend(PMap<DemandKey, Double> averageTokensPerSecond, OptionalLong sinceMillis, long updatedAtMillis) {
    private static final double AVERAGING_MILLIS = 20_000; // several times the request interval of a rare model
    private static final long MIN_OBSERVATION_MILLIS = 1_000; // a shorter time shows only single requests
    private static final long MIN_AGE_MILLIS = 300; // limits the weight of a first request in the current rate
    private static final long MIN_LONG_TERM_AGE_MILLIS = 5_000; // the same for the long-term rate

    static DemandTrend none() {
        return new DemandTrend(HashTreePMap.empty(), OptionalLong.empty(), 0);
    }

    /** Returns the trend updated with the current demand of the fleet. */
    DemandTrend updated(Map<DemandKey, ModelDemand> currentDemand, long nowMillis) {
        if (currentDemand.isEmpty() && averageTokensPerSecond.isEmpty()) {
            return this;
        }
        double weight = sinceMillis.isEmpty() ? 0 : 1 - Math.exp(-(nowMillis - updatedAtMillis) / AVERAGING_MILLIS);
        PMap<DemandKey, Double> next = averageTokensPerSecond;
        for (Map.Entry<DemandKey, Double> entry : averageTokensPerSecond.entrySet()) {
            next = next.plus(entry.getKey(), entry.getValue() * (1 - weight));
        }
        for (Map.Entry<DemandKey, ModelDemand> entry : currentDemand.entrySet()) {
            double before = next.getOrDefault(entry.getKey(), 0.0);
            next = next.plus(entry.getKey(), before + weight * entry.getValue().tokensPerSecond());
        }
        return new DemandTrend(next, OptionalLong.of(sinceMillis.orElse(nowMillis)), nowMillis);
    }

    /** Returns whether demand was observed for long enough to unload a model without requests. */
    boolean hasEnoughHistory(long nowMillis) {
        return ageMillis(nowMillis) >= MIN_OBSERVATION_MILLIS;
    }

    private double ageMillis(long nowMillis) {
        return sinceMillis.isPresent() ? nowMillis - sinceMillis.getAsLong() : 0;
    }

    /** Returns the factor by which averages, which start at zero, are too low until their window has filled. */
    double underestimationFactor(long nowMillis) {
        double age = Math.max(MIN_AGE_MILLIS, ageMillis(nowMillis));
        return 1 / (1 - Math.exp(-age / FleetState.DEMAND_WINDOW_MILLIS));
    }

    /** Returns the estimated demand by model of a service; the trend must already include the current demand. */
    Map<String, DemandEstimate> estimates(String service, Map<DemandKey, ModelDemand> currentDemand, long nowMillis) {
        double age = Math.max(MIN_LONG_TERM_AGE_MILLIS, ageMillis(nowMillis));
        double windowShare = 1 - Math.exp(-age / AVERAGING_MILLIS);
        Map<String, DemandEstimate> estimates = new HashMap<>();
        averageTokensPerSecond.forEach((key, tokens) -> {
            if (key.service().equals(service)) {
                ModelDemand current =
                        currentDemand.getOrDefault(key, new ModelDemand(key.service(), key.model(), 0, 0, 0, 0));
                double longTerm = Math.max(current.tokensPerSecond(), tokens / windowShare);
                estimates.put(
                        key.model(),
                        new DemandEstimate(
                                current.tokensPerSecond(),
                                longTerm,
                                current.waiting(),
                                current.objectiveMillis(),
                                current.waitedMillis()));
            }
        });
        return Map.copyOf(estimates);
    }
}
