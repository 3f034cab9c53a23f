package org.jackdawbeam.standin.engine;

/**
 * Faults of an emulated engine, set at run time.
 *
 * @param silent whether requests are accepted and never processed, while load reports continue
 * @param lostOrders probability that an order is dropped without execution or response
 * @param lostOrderAnswers probability that an order is executed without a response
 * @param orderDelayMillis delay before an order is executed
 * @param cacheEventGaps probability that a cache event is omitted from load reports
 * @param leaving whether the engine announces that it is about to stop
 * @param breakAfterTokens token position at which the connection is closed; zero for never
 */
public record EngineFaults(
        boolean silent,
        double lostOrders,
        double lostOrderAnswers,
        long orderDelayMillis,
        double cacheEventGaps,
        boolean leaving,
        int breakAfterTokens) {

    /** Returns settings without faults, except that 5% of the cache events are omitted. */
    public static EngineFaults none() {
        return new EngineFaults(false, 0, 0, 0, 0.05, false, 0);
    }
}
