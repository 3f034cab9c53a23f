package org.jackdawbeam.logic.placement;

import java.util.HashMap;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Demand by model as this entry sees it.
 *
 * @param rates charged tokens per second by model
 * @param windowMillis time over which demand is averaged
 */
public record Demand(PMap<String, DemandRate> rates, double windowMillis) {
    private static final double DEFAULT_WINDOW_MILLIS = 10_000;
    private static final double NEGLIGIBLE_TOKENS_PER_SECOND = 0.01;

    /** Returns no demand. */
    public static Demand none() {
        return none(DEFAULT_WINDOW_MILLIS);
    }

    /** Returns no demand, to be averaged over the given time. */
    public static Demand none(double windowMillis) {
        return new Demand(HashTreePMap.empty(), windowMillis);
    }

    /** Adds a request. */
    public Demand plus(String model, double tokens, long nowMillis) {
        DemandRate rate = rates.getOrDefault(model, new DemandRate(0, nowMillis));
        return new Demand(rates.plus(model, rate.plus(tokens, nowMillis, windowMillis)), windowMillis);
    }

    /** Returns the rates as of now, without negligible ones. */
    public Map<String, Double> at(long nowMillis) {
        Map<String, Double> current = new HashMap<>();
        rates.forEach((model, rate) -> {
            double value = rate.at(nowMillis, windowMillis);
            if (value > NEGLIGIBLE_TOKENS_PER_SECOND) {
                current.put(model, value);
            }
        });
        return Map.copyOf(current);
    }
}
