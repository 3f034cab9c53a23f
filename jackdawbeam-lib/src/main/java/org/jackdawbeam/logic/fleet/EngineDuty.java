package org.jackdawbeam.logic.fleet;

import java.util.Optional;
import java.util.OptionalLong;
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
 * @param adapterWishedAt when each adapter was last wished for, by model and adapter
 */
public record EngineDuty(
        long startedAtMillis,
        OptionalLong orderCount,
        Optional<EngineOrder> underWay,
        Optional<String> changing,
        long changedAtMillis,
        boolean reportAsked,
        long reportAtMillis,
        PMap<String, Long> adapterWishedAt) {

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

    /** Returns whether an adapter may be ordered: nothing is under way and the count is known. */
    boolean takesOrders() {
        return orderCount.isPresent() && underWay.isEmpty();
    }

    /** Returns whether a change of models may be ordered. */
    boolean isIdle() {
        return takesOrders() && changing.isEmpty();
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
                adapterWishedAt);
    }

    /** Returns the duty after an answer; the order counts if the engine accepted it. */
    EngineDuty answered(OptionalLong count, long reportAt) {
        return new EngineDuty(
                startedAtMillis,
                count,
                Optional.empty(),
                changing,
                changedAtMillis,
                reportAsked,
                reportAt,
                adapterWishedAt);
    }

    EngineDuty changing(Optional<String> model, long nowMillis, long reportAt) {
        return new EngineDuty(
                startedAtMillis, orderCount, underWay, model, nowMillis, reportAsked, reportAt, adapterWishedAt);
    }

    EngineDuty askedForReport() {
        return new EngineDuty(
                startedAtMillis, orderCount, underWay, changing, changedAtMillis, true, reportAtMillis,
                adapterWishedAt);
    }

    EngineDuty reported(OptionalLong count, Optional<String> stillChanging, long reportAt) {
        return new EngineDuty(
                startedAtMillis, count, underWay, stillChanging, changedAtMillis, false, reportAt, adapterWishedAt);
    }

    EngineDuty wished(String adapterKey, long nowMillis) {
        return new EngineDuty(
                startedAtMillis,
                orderCount,
                underWay,
                changing,
                changedAtMillis,
                reportAsked,
                reportAtMillis,
                adapterWishedAt.plus(adapterKey, nowMillis));
    }
}
