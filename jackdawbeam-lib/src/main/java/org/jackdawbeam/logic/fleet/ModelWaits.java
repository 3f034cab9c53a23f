package org.jackdawbeam.logic.fleet;

import java.util.Map;
import java.util.function.Predicate;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Models that callers of this entry have asked for while no engine held them. A model keeps its place while its callers
 * pause.
 */
public record ModelWaits(PMap<DemandKey, ModelWait> byModel) {
    private static final long RETENTION_MILLIS = 30_000; // callers that were refused may ask another entry next

    /** Time since when a model has been asked for in vain, and of the latest request for it. */
    record ModelWait(long sinceMillis, long askedAtMillis) {}

    static ModelWaits none() {
        return new ModelWaits(HashTreePMap.empty());
    }

    /** Returns the waits after a request for a model that no engine holds. */
    ModelWaits withAsked(DemandKey model, long nowMillis) {
        long since = byModel.containsKey(model) ? byModel.get(model).sinceMillis() : nowMillis;
        return new ModelWaits(byModel.plus(model, new ModelWait(since, nowMillis)));
    }

    /** Returns the waits without models that an engine holds now, or that nobody has asked for lately. */
    ModelWaits without(Predicate<DemandKey> isHeld, long nowMillis) {
        PMap<DemandKey, ModelWait> rest = byModel;
        for (Map.Entry<DemandKey, ModelWait> wait : byModel.entrySet()) {
            boolean over = nowMillis - wait.getValue().askedAtMillis() > RETENTION_MILLIS || isHeld.test(wait.getKey());
            rest = over ? rest.minus(wait.getKey()) : rest;
        }
        return rest == byModel ? this : new ModelWaits(rest);
    }

    /** Returns how long the model has been asked for in vain, zero if it has not. */
    long millis(DemandKey model, long nowMillis) {
        ModelWait wait = byModel.get(model);
        return wait == null ? 0 : nowMillis - wait.sinceMillis();
    }

    /** Returns the longest of the waits, zero if there is none. */
    public long longestMillis(long nowMillis) {
        return byModel.values().stream()
                .mapToLong(wait -> nowMillis - wait.sinceMillis())
                .max()
                .orElse(0);
    }
}
