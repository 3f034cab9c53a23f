package org.jackdawbeam.logic.entry;

import java.util.List;
import org.jackdawbeam.logic.placement.PlacementPolicy;
import org.jackdawbeam.logic.routing.RoutingPolicy;
import org.jackdawbeam.model.settings.EntryTimings;

/**
 * Options of the decision logic of an entry. They are fixed at startup.
 *
 * @param timings intervals, timeouts and limits
 * @param routing policy for choosing targets
 * @param placement policy for placing models on engines
 * @param queueing policy for ordering queued requests
 * @param borrowing whether a host that lacks rate-limit tokens borrows them from its peers
 * @param seedPeers addresses of peers that are asked for a snapshot while the log is unavailable
 */
public record EntryOptions(
        EntryTimings timings,
        RoutingPolicy routing,
        PlacementPolicy placement,
        QueuePolicy queueing,
        boolean borrowing,
        List<String> seedPeers) {

    /** Returns the default options of the daemon. */
    public static EntryOptions defaults() {
        return new EntryOptions(
                EntryTimings.defaults(),
                new RoutingPolicy.EstimatedFirstToken(true, true),
                new PlacementPolicy.ByDemand(),
                QueuePolicy.FAIR_BY_RATE,
                true,
                List.of());
    }

    /** Returns a copy with the given timings. */
    public EntryOptions withTimings(EntryTimings newTimings) {
        return new EntryOptions(newTimings, routing, placement, queueing, borrowing, seedPeers);
    }

    /** Returns a copy with the given routing policy. */
    public EntryOptions withRouting(RoutingPolicy policy) {
        return new EntryOptions(timings, policy, placement, queueing, borrowing, seedPeers);
    }

    /** Returns a copy with the given placement policy. */
    public EntryOptions withPlacement(PlacementPolicy policy) {
        return new EntryOptions(timings, routing, policy, queueing, borrowing, seedPeers);
    }

    /** Returns a copy with the given queueing policy. */
    public EntryOptions withQueueing(QueuePolicy policy) {
        return new EntryOptions(timings, routing, placement, policy, borrowing, seedPeers);
    }

    /** Returns a copy with borrowing enabled or disabled. */
    public EntryOptions withBorrowing(boolean borrows) {
        return new EntryOptions(timings, routing, placement, queueing, borrows, seedPeers);
    }
}
