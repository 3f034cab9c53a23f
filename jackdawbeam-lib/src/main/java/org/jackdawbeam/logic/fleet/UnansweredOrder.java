package org.jackdawbeam.logic.fleet;

import org.jackdawbeam.model.fleet.EngineOrder;

/**
 * An order to load a model or adapter that has not been answered. The engine may execute it seconds later, also after
 * it has started again under its id, if its order count is then the expected one.
 *
 * @param sentAtMillis when the order was sent
 */
record UnansweredOrder(EngineOrder order, long sentAtMillis) {
    private static final long LATEST_EXECUTION_MILLIS = 30_000; // engines execute unanswered orders within seconds

    /** Returns whether the engine may still execute the order after it has accepted another one. */
    boolean mayFollow(long orderCount, long nowMillis) {
        return !isOver(nowMillis) && order.expectedCount() > orderCount;
    }

    boolean isOver(long nowMillis) {
        return nowMillis - sentAtMillis > LATEST_EXECUTION_MILLIS;
    }
}
