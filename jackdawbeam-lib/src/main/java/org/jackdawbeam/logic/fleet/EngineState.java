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
 * State of an engine as known to the placement leader from its own orders and the engine's reports.
 *
 * @param startedAtMillis Unix time of the engine's start; the state is discarded after a restart
 * @param orderCount number of orders that the engine has accepted; empty if a report is needed
 * @param minimumOrderCount lower bound of that number; a report with a lower one is out of date
 * @param pendingOrder order that was sent and is not answered yet
 * @param changingModel model that is being loaded or unloaded
 * @param changedAtMillis when that change was accepted
 * @param models models that it holds or is loading; empty before the first report
 * @param reportPending whether a report has been requested and not received yet
 * @param nextReportAtMillis when to request the next report
 * @param adapters adapters that it holds or is loading
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
    /** Placeholder for the model of an order given by another entry. */
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

    /** Returns whether an order may be sent: an engine carries out one order at a time and rejects any other. */
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

    /** Returns the state after an answer to an order; without a count a report is needed before the next order. */
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

    /** Returns the state after the engine has begun to load or unload a model. */
    EngineState withModelChange(EngineOrder order, long nowMillis, long reportAt) {
        Set<String> heldModels = new HashSet<>(models.orElse(Set.of()));
        if (order.action() == OrderAction.LOAD_MODEL) {
            heldModels.add(order.model());
        }
        return new EngineState(
                startedAtMillis,
                orderCount,
                minimumOrderCount,
                pendingOrder,
                Optional.of(order.model()),
                nowMillis,
                models.map(known -> Set.copyOf(heldModels)),
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

    /** Returns the state after a report that could not be used. */
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

    /** Returns the state after requests have used adapters, each given as {@code model/adapter}. */
    EngineState withUsedAdapters(Set<String> used, long nowMillis) {
        PMap<AdapterKey, AdapterSlot> updated = adapters;
        for (Map.Entry<AdapterKey, AdapterSlot> slot : adapters.entrySet()) {
            boolean isUsed =
                    used.contains(slot.getKey().model() + "/" + slot.getKey().adapter());
            updated = isUsed ? updated.plus(slot.getKey(), slot.getValue().usedAt(nowMillis)) : updated;
        }
        return withAdapters(updated);
    }

    EngineState with(AdapterKey key, AdapterSlot slot) {
        return withAdapters(adapters.plus(key, slot));
    }

    EngineState without(AdapterKey key) {
        return withAdapters(adapters.minus(key));
    }

    EngineState withAdapters(PMap<AdapterKey, AdapterSlot> changed) {
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
                changed);
    }
}
