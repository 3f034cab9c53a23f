package org.jackdawbeam.logic.budget;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Decides which connection is closed if a budget is exceeded. Complete requests keep waiting for answers. */
public final class EvictionOrder {
    private static final Comparator<Holding> LEAST_MISSED =
            Comparator.comparing(Holding::phase).thenComparing(Holding::phaseNumber);
    /** Of equal connections, the one that has been unfinished for longest. */
    private static final Comparator<Holding> SMALLEST = Comparator.comparing(Holding::heldBytes)
            .thenComparing(Comparator.comparing(Holding::phaseNumber).reversed());

    private EvictionOrder() {}

    /** Returns the connection that frees most memory, of those with unfinished requests and unread answers. */
    public static <H extends Holding> Optional<H> forMemory(Collection<H> holdings) {
        return holdings.stream()
                .filter(holding ->
                        holding.phase() == Holding.Phase.RECEIVING || holding.phase() == Holding.Phase.STALLED)
                .max(SMALLEST);
    }

    /**
     * Returns the connection that has been idle for longest, or else the one whose request takes longest to arrive, or
     * else the one whose answer has not been read for longest.
     */
    public static <H extends Holding> Optional<H> forConnections(Collection<H> holdings) {
        return holdings.stream()
                .filter(holding -> holding.phase() != Holding.Phase.ANSWERING)
                .min(LEAST_MISSED);
    }
}
