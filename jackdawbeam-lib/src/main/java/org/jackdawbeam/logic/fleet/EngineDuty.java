package org.jackdawbeam.logic.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What the holder of the placement duty knows of an engine.
 *
 * @param startedAtMillis Unix time of the engine's start; nothing is known of another start
 * @param orderCount orders that the engine has accepted; empty if a report is needed
 * @param underWay order without an answer
 * @param changing model that is being loaded or unloaded
 * @param changedAtMillis when that change was accepted
 * @param reportAsked whether a report is under way
 * @param reportAtMillis when to ask for a report
 * @param adapters adapters that it holds or that are on their way to it
 */
public record EngineDuty(
        long startedAtMillis,
        OptionalLong orderCount,
        Optional<EngineOrder> underWay,
        Optional<String> changing,
        long changedAtMillis,
        boolean reportAsked,
        long reportAtMillis,
        PMap<AdapterKey, AdapterPlace> adapters) {
    /** Stands for the model of an order that somebody else has given. */
    static final String UNKNOWN_MODEL = "";

    static EngineDuty unknown(long startedAtMillis) {
        return new EngineDuty(
                startedAtMillis,
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                0,
                HashTreePMap.empty());
    }

    /** Returns whether an order may be sent: an engine carries out one at a time and rejects others meanwhile. */
    boolean isIdle() {
        return orderCount.isPresent() && underWay.isEmpty() && changing.isEmpty();
    }

    EngineDuty ordered(EngineOrder order) {
        return new EngineDuty(
                startedAtMillis,
                orderCount,
                Optional.of(order),
                changing,
                changedAtMillis,
                reportAsked,
                reportAtMillis,
                adapters);
    }

    /** Returns the duty after an answer; the order counts if the engine accepted it. */
    EngineDuty answered(OptionalLong count, long reportAt) {
        return new EngineDuty(
                startedAtMillis, count, Optional.empty(), changing, changedAtMillis, reportAsked, reportAt, adapters);
    }

    EngineDuty changing(Optional<String> model, long nowMillis, long reportAt) {
        return new EngineDuty(startedAtMillis, orderCount, underWay, model, nowMillis, reportAsked, reportAt, adapters);
    }

    EngineDuty askedForReport() {
        return new EngineDuty(
                startedAtMillis, orderCount, underWay, changing, changedAtMillis, true, reportAtMillis, adapters);
    }

    EngineDuty reported(OptionalLong count, Optional<String> stillChanging, long reportAt) {
        return new EngineDuty(
                startedAtMillis, count, underWay, stillChanging, changedAtMillis, false, reportAt, adapters);
    }

    /** Returns the duty after requests have used adapters, each given as model and adapter with a slash between. */
    EngineDuty wanted(Set<String> used, long nowMillis) {
        PMap<AdapterKey, AdapterPlace> noted = adapters;
        for (Map.Entry<AdapterKey, AdapterPlace> held : adapters.entrySet()) {
            boolean isUsed =
                    used.contains(held.getKey().model() + "/" + held.getKey().adapter());
            noted = isUsed ? noted.plus(held.getKey(), held.getValue().wanted(nowMillis)) : noted;
        }
        return withAdapters(noted);
    }

    EngineDuty with(AdapterKey key, AdapterPlace place) {
        return withAdapters(adapters.plus(key, place));
    }

    EngineDuty without(AdapterKey key) {
        return withAdapters(adapters.minus(key));
    }

    EngineDuty withAdapters(PMap<AdapterKey, AdapterPlace> held) {
        return new EngineDuty(
                startedAtMillis, orderCount, underWay, changing, changedAtMillis, reportAsked, reportAtMillis, held);
    }
}
