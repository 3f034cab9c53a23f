package org.jackdawbeam.logic.placement;

import java.util.HashMap;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Demand for each model as measured by this entry.
 *
 * @param rates charged tokens per second, by model
 * @param windowMillis time constant of the moving average, in milliseconds
 */
public record Demand(PMap<String, DemandRate> rates, double windowMillis) {
    private static final double DEFAULT_WINDOW_MILLIS = 10_000;
    private static final double NEGLIGIBLE_TOKENS_PER_SECOND = 0.01;

    /** Returns zero demand, averaged over the default window. */
    public static Demand none() {
        return none(DEFAULT_WINDOW_MILLIS);
    }

    /** Returns zero demand, averaged over the given window. */
    public static Demand none(double windowMillis) {
        return new Demand(HashTreePMap.empty(), windowMillis);
    }

    /** Returns the demand after a request for the given number of charged tokens. */
    public Demand plus(String model, double tokens, long nowMillis) {
        DemandRate rate = rates.getOrDefault(model, new DemandRate(0, nowMillis));
        return new Demand(rates.plus(model, rate.plus(tokens, nowMillis, windowMillis)), windowMillis);
    }

    /** Returns the rates decayed to the given time, without negligible ones. */
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
