package org.jackdawbeam.logic.cost;

import java.util.Comparator;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What requests cost at the models and engines that this entry knows, as learnt from their answers. A model or engine
 * of which little is known, or that does not differ from the others beyond chance, works at the pace of its service.
 *
 * @param prefill time to the first byte over the time expected from the statistics of the service, by service
 * @param decoding time from the first to the last byte over the number of stated tokens and the step, by service
 * @param models pace of models, by service and model
 * @param engines pace of engines, by id
 * @param mixes priorities that are sent, by service
 */
public record CostAccount(
        PMap<String, Pace> prefill,
        PMap<String, Pace> decoding,
        PMap<String, Pace> models,
        PMap<String, Pace> engines,
        PMap<String, UrgencyMix> mixes) {
    static final int MAX_ENTRIES = 1_024; // of each kind, a few hundred bytes each
    private static final double MIN_FACTOR = 0.25;
    private static final double MAX_FACTOR = 6;
    private static final double MIN_MILLIS = 1; // clocks tell milliseconds

    /** Returns an account that knows nothing. */
    public static CostAccount unknown() {
        return new CostAccount(
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty());
    }

    /** Returns the account after an answer has begun. */
    public CostAccount withPrefill(Place place, double expectedMillis, double observedMillis, long nowMillis) {
        double logarithm = logarithm(expectedMillis, observedMillis);
        Pace service = prefill.getOrDefault(place.service(), Pace.unknown()).with(logarithm, nowMillis);
        return new CostAccount(prefill.plus(place.service(), service), decoding, models, engines, mixes)
                .withDeviation(place, logarithm - service.mean(nowMillis), nowMillis);
    }

    /** Returns the account after an answer has ended, given the time from its first to its last byte. */
    public CostAccount withDecoding(Place place, double expectedMillis, double observedMillis, long nowMillis) {
        double logarithm = logarithm(expectedMillis, observedMillis);
        Pace service = decoding.getOrDefault(place.service(), Pace.unknown()).with(logarithm, nowMillis);
        return new CostAccount(prefill, decoding.plus(place.service(), service), models, engines, mixes)
                .withDeviation(place, logarithm - service.mean(nowMillis), nowMillis);
    }

    /** Returns the account after a request was sent to an engine of the service. */
    public CostAccount withSent(String service, int priority) {
        UrgencyMix known = mix(service);
        UrgencyMix mix = known.withSent(priority);
        return mix == known ? this : new CostAccount(prefill, decoding, models, engines, mixes.plus(service, mix));
    }

    /** Returns by how much longer work takes at the place than is usual for the service; 1 if nothing is known. */
    public double factor(Place place, long nowMillis) {
        double logarithm = pace(models, place.modelKey()).distinct(nowMillis)
                + pace(engines, place.engine()).distinct(nowMillis);
        return Math.clamp(Math.exp(logarithm), MIN_FACTOR, MAX_FACTOR);
    }

    /** Returns the part of the stated output tokens that answers of the service take, by time; 0 if unknown. */
    public double outputShare(String service, long nowMillis) {
        Pace pace = decoding.getOrDefault(service, Pace.unknown());
        double mean = pace.mean(nowMillis);
        return mean == 0 ? 0 : Math.exp(mean);
    }

    /** Returns the priorities that are sent to the engines of the service. */
    public UrgencyMix mix(String service) {
        return mixes.getOrDefault(service, UrgencyMix.unknown());
    }

    private CostAccount withDeviation(Place place, double deviation, long nowMillis) {
        Pace model = pace(models, place.modelKey());
        Pace engine = pace(engines, place.engine());
        PMap<String, Pace> keptModels = withoutOldest(models, place.modelKey(), Pace::learntAtMillis);
        PMap<String, Pace> keptEngines = withoutOldest(engines, place.engine(), Pace::learntAtMillis);
        return new CostAccount(
                prefill,
                decoding,
                keptModels.plus(place.modelKey(), model.with(deviation - engine.distinct(nowMillis), nowMillis)),
                keptEngines.plus(place.engine(), engine.with(deviation - model.distinct(nowMillis), nowMillis)),
                mixes);
    }

    private static Pace pace(PMap<String, Pace> paces, String key) {
        return paces.getOrDefault(key, Pace.unknown());
    }

    private static double logarithm(double expectedMillis, double observedMillis) {
        return Math.log(Math.max(MIN_MILLIS, observedMillis) / Math.max(MIN_MILLIS, expectedMillis));
    }

    private static <T> PMap<String, T> withoutOldest(
            PMap<String, T> known, String added, ToLongFunction<T> changedAtMillis) {
        if (known.size() < MAX_ENTRIES || known.containsKey(added)) {
            return known;
        }
        return known.entrySet().stream()
                .min(Comparator.<Map.Entry<String, T>>comparingLong(
                                entry -> changedAtMillis.applyAsLong(entry.getValue()))
                        .thenComparing(Map.Entry::getKey))
                .map(oldest -> known.minus(oldest.getKey()))
                .orElse(known);
    }
}
