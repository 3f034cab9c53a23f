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
 * @param minimumOrderCount orders that it has accepted at least; a report of fewer is out of date
 * @param pendingOrder order without an answer
 * @param changingModel model that is being loaded or unloaded
 * @param changedAtMillis when that change was accepted
 * @param models models that it holds or is loading; empty before the first report
 * @param reportPending whether a report is under way
 * @param nextReportAtMillis when to ask for a report
 * @param adapters adapters that it holds or that are on their way to it
 */
public record EngineState(
        long startedAtMillis,
        OptionalLong orderCount,
        long minimumOrderCount,
        Optional<EngineOrder> pendingOrder,
        Optional<String> changingModel,
        long changedAtMillis,
        Optional<Set<String>> models,
        boolean reportPending,
        long nextReportAtMillis,
        PMap<AdapterKey, AdapterSlot> adapters) {
    /** Stands for the model of an order that somebody else has given. */
    static final String UNKNOWN_MODEL = "";

    static EngineState unknown(long startedAtMillis) {
        return new EngineState(
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
        return orderCount.isPresent() && pendingOrder.isEmpty() && changingModel.isEmpty();
    }

    EngineState withPendingOrder(EngineOrder order) {
        return new EngineState(
                startedAtMillis,
                orderCount,
                minimumOrderCount,
                Optional.of(order),
                changingModel,
                changedAtMillis,
                models,
                reportPending,
                nextReportAtMillis,
                adapters);
    }

    /** Returns the duty after an answer; without a count a report is needed before the next order. */
    EngineState withAnswer(OptionalLong count, long reportAt) {
        return new EngineState(
                startedAtMillis,
                count,
                Math.max(minimumOrderCount, count.orElse(0)),
                Optional.empty(),
                changingModel,
                changedAtMillis,
                models,
                reportPending,
                reportAt,
                adapters);
    }

    /** Returns the duty after the engine has begun to load or drop a model. */
    EngineState withModelChange(EngineOrder order, long nowMillis, long reportAt) {
        Set<String> held = new HashSet<>(models.orElse(Set.of()));
        if (order.action() == OrderAction.LOAD_MODEL) {
            held.add(order.model());
        }
        return new EngineState(
                startedAtMillis,
                orderCount,
                minimumOrderCount,
                pendingOrder,
                Optional.of(order.model()),
                nowMillis,
                models.map(known -> Set.copyOf(held)),
                reportPending,
                reportAt,
                adapters);
    }

    EngineState withReportRequested() {
        return new EngineState(
                startedAtMillis,
                orderCount,
                minimumOrderCount,
                pendingOrder,
                changingModel,
                changedAtMillis,
                models,
                true,
                nextReportAtMillis,
                adapters);
    }

    /** Returns the duty after a report that could not be used. */
    EngineState withNextReportAt(long reportAt) {
        return new EngineState(
                startedAtMillis,
                orderCount,
                minimumOrderCount,
                pendingOrder,
                changingModel,
                changedAtMillis,
                models,
                false,
                reportAt,
                adapters);
    }

    EngineState withReport(TargetReport report, Optional<String> stillChanging, long reportAt) {
        return new EngineState(
                startedAtMillis,
                OptionalLong.of(report.orderCount()),
                report.orderCount(),
                pendingOrder,
                stillChanging,
                changedAtMillis,
                Optional.of(report.models()),
                false,
                reportAt,
                adapters);
    }

    /** Returns the duty after requests have used adapters, each given as model and adapter with a slash between. */
    EngineState withUsedAdapters(Set<String> used, long nowMillis) {
        PMap<AdapterKey, AdapterSlot> noted = adapters;
        for (Map.Entry<AdapterKey, AdapterSlot> held : adapters.entrySet()) {
            boolean isUsed =
                    used.contains(held.getKey().model() + "/" + held.getKey().adapter());
            noted = isUsed ? noted.plus(held.getKey(), held.getValue().usedAt(nowMillis)) : noted;
        }
        return withAdapters(noted);
    }

    EngineState with(AdapterKey key, AdapterSlot place) {
        return withAdapters(adapters.plus(key, place));
    }

    EngineState without(AdapterKey key) {
        return withAdapters(adapters.minus(key));
    }

    EngineState withAdapters(PMap<AdapterKey, AdapterSlot> held) {
        return new EngineState(
                startedAtMillis,
                orderCount,
                minimumOrderCount,
                pendingOrder,
                changingModel,
                changedAtMillis,
                models,
                reportPending,
                nextReportAtMillis,
                held);
    }
}
