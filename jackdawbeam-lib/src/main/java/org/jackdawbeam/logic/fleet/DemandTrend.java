package org.jackdawbeam.logic.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.jackdawbeam.model.fleet.FleetMessage.ModelDemand;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Demand as the holder of the placement duty has seen it. Entries tell what was asked of them within some seconds; the
 * trend remembers longer, so that a model that is asked for rarely but steadily does not count as unwanted in between.
 *
 * @param averageTokensPerSecond prompt tokens a second by model, averaged over {@link #AVERAGING_MILLIS}
 * @param sinceMillis when this entry first knew of demand
 */
record DemandTrend(PMap<DemandKey, Double> averageTokensPerSecond, OptionalLong sinceMillis, long updatedAtMillis) {
    private static final double AVERAGING_MILLIS = 20_000; // several times the pause between requests for a rare model
    private static final long MIN_OBSERVATION_MILLIS = 1_000; // less shows single requests only
    private static final long MIN_AGE_MILLIS = 300; // bounds what a first request says of the present
    private static final long MIN_LONG_TERM_AGE_MILLIS = 5_000; // bounds what a first request says of a longer time

    static DemandTrend none() {
        return new DemandTrend(HashTreePMap.empty(), OptionalLong.empty(), 0);
    }

    /** Returns the trend with the fleet's present demand. */
    DemandTrend updated(Map<DemandKey, ModelDemand> present, long nowMillis) {
        if (present.isEmpty() && averageTokensPerSecond.isEmpty()) {
            return this;
        }
        double weight = sinceMillis.isEmpty() ? 0 : 1 - Math.exp(-(nowMillis - updatedAtMillis) / AVERAGING_MILLIS);
        PMap<DemandKey, Double> next = averageTokensPerSecond;
        for (Map.Entry<DemandKey, Double> entry : averageTokensPerSecond.entrySet()) {
            next = next.plus(entry.getKey(), entry.getValue() * (1 - weight));
        }
        for (Map.Entry<DemandKey, ModelDemand> entry : present.entrySet()) {
            double before = next.getOrDefault(entry.getKey(), 0.0);
            next = next.plus(entry.getKey(), before + weight * entry.getValue().tokensPerSecond());
        }
        return new DemandTrend(next, OptionalLong.of(sinceMillis.orElse(nowMillis)), nowMillis);
    }

    /** Returns whether enough was seen to drop a model that nobody has asked for. */
    boolean hasEnoughHistory(long nowMillis) {
        return ageMillis(nowMillis) >= MIN_OBSERVATION_MILLIS;
    }

    private double ageMillis(long nowMillis) {
        return sinceMillis.isPresent() ? nowMillis - sinceMillis.getAsLong() : 0;
    }

    /** Averages begin at zero: at first they are too low by the part of their window that is missing. */
    double underestimationFactor(long nowMillis) {
        double age = Math.max(MIN_AGE_MILLIS, ageMillis(nowMillis));
        return 1 / (1 - Math.exp(-age / FleetState.DEMAND_WINDOW_MILLIS));
    }

    /** Returns demand by model of a service; what is present is part of the trend already. */
    Map<String, DemandEstimate> estimates(String service, Map<DemandKey, ModelDemand> present, long nowMillis) {
        double age = Math.max(MIN_LONG_TERM_AGE_MILLIS, ageMillis(nowMillis));
        double seenLong = 1 - Math.exp(-age / AVERAGING_MILLIS);
        Map<String, DemandEstimate> needs = new HashMap<>();
        averageTokensPerSecond.forEach((key, tokens) -> {
            if (key.service().equals(service)) {
                ModelDemand now = present.getOrDefault(key, new ModelDemand(key.service(), key.model(), 0, 0, 0));
                double longer = Math.max(now.tokensPerSecond(), tokens / seenLong);
                needs.put(
                        key.model(),
                        new DemandEstimate(now.tokensPerSecond(), longer, now.waiting(), now.objectiveMillis()));
            }
        });
        return Map.copyOf(needs);
    }
}
