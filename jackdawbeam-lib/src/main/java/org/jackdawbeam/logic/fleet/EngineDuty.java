package org.jackdawbeam.logic.fleet;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.log.OrderAction;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What the holder of the placement duty knows of an engine, by its own orders and the engine's reports.
 *
 * @param startedAtMillis Unix time of the engine's start; nothing is known of another start
 * @param orderCount orders that the engine has accepted; empty if a report is needed
 * @param lowestCount orders that it has accepted at least; a report of fewer is out of date
 * @param underWay order without an answer
 * @param changing model that is being loaded or unloaded
 * @param changedAtMillis when that change was accepted
 * @param models models that it holds or is loading; empty before the first report
 * @param reportAsked whether a report is under way
 * @param reportAtMillis when to ask for a report
 * @param adapters adapters that it holds or that are on their way to it
 */
public record EngineDuty(
        long startedAtMillis,
        OptionalLong orderCount,
        long lowestCount,
        Optional<EngineOrder> underWay,
        Optional<String> changing,
        long changedAtMillis,
        Optional<Set<String>> models,
        boolean reportAsked,
        long reportAtMillis,
        PMap<AdapterKey, AdapterPlace> adapters) {
    /** Stands for the model of an order that somebody else has given. */
    static final String UNKNOWN_MODEL = "";

    static EngineDuty unknown(long startedAtMillis) {
        return new EngineDuty(
                startedAtMillis,
                OptionalLong.empty(),
                0,
                Optional.empty(),
                Optional.empty(),
                0,
                Optional.empty(),
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
                lowestCount,
                Optional.of(order),
                changing,
                changedAtMillis,
                models,
                reportAsked,
                reportAtMillis,
                adapters);
    }

    /** Returns the duty after an answer; without a count a report is needed before the next order. */
    EngineDuty answered(OptionalLong count, long reportAt) {
        return new EngineDuty(
                startedAtMillis,
                count,
                Math.max(lowestCount, count.orElse(0)),
                Optional.empty(),
                changing,
                changedAtMillis,
                models,
                reportAsked,
                reportAt,
                adapters);
    }

    /** Returns the duty after the engine has begun to load or drop a model. */
    EngineDuty changing(EngineOrder order, long nowMillis, long reportAt) {
        Set<String> held = new HashSet<>(models.orElse(Set.of()));
        if (order.action() == OrderAction.LOAD_MODEL) {
            held.add(order.model());
        }
        return new EngineDuty(
                startedAtMillis,
                orderCount,
                lowestCount,
                underWay,
                Optional.of(order.model()),
                nowMillis,
                models.map(known -> Set.copyOf(held)),
                reportAsked,
                reportAt,
                adapters);
    }

    EngineDuty askedForReport() {
        return new EngineDuty(
                startedAtMillis,
                orderCount,
                lowestCount,
                underWay,
                changing,
                changedAtMillis,
                models,
                true,
                reportAtMillis,
                adapters);
    }

    /** Returns the duty after a report that could not be used. */
    EngineDuty askAgainAt(long reportAt) {
        return new EngineDuty(
                startedAtMillis,
                orderCount,
                lowestCount,
                underWay,
                changing,
                changedAtMillis,
                models,
                false,
                reportAt,
                adapters);
    }

    EngineDuty reported(TargetReport report, Optional<String> stillChanging, long reportAt) {
        return new EngineDuty(
                startedAtMillis,
                OptionalLong.of(report.orderCount()),
                report.orderCount(),
                underWay,
                stillChanging,
                changedAtMillis,
                Optional.of(report.models()),
                false,
                reportAt,
                adapters);
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
                startedAtMillis,
                orderCount,
                lowestCount,
                underWay,
                changing,
                changedAtMillis,
                models,
                reportAsked,
                reportAtMillis,
                held);
    }
}
