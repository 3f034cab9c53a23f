package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.jackdawbeam.model.fleet.Feed;
import org.pcollections.HashTreePMap;

/**
 * Handles a store that was restored from an older backup: re-reads all feeds from their newest entries, announces this
 * member again, and drops leadership, because the record that granted it may be lost. Keeps the known configuration,
 * withdrawn keys and leaving targets.
 */
final class StoreEraFlow {
    private static final int READ_SPREAD_MILLIS = 400; // keeps entries from re-reading all feeds at the same time

    FleetState onSeen(FleetState state, FleetEvent.StoreEraSeen event, List<FleetEffect> effects) {
        OptionalLong known = state.storeEra().number();
        if (known.isEmpty()) {
            return state.with(new StoreEra(OptionalLong.of(event.era()), Long.MIN_VALUE, false));
        }
        if (event.era() <= known.getAsLong()) {
            return state;
        }
        long nowMillis = event.nowMillis();
        effects.add(FleetEffect.Note.of(
                "store_era_changed",
                "previous",
                known.getAsLong(),
                "era",
                event.era(),
                "announced_again",
                state.self().id(),
                "held_placement_duty",
                state.leadership().fencingToken().isPresent()));
        long nextCallAt = nowMillis + Math.floorMod(state.self().incarnation().hashCode(), READ_SPREAD_MILLIS);
        FleetState next = state.with(new StoreEra(OptionalLong.of(event.era()), nowMillis, false))
                .with(Leadership.unknown().withNextCallAt(nextCallAt))
                .with(Announcement.PENDING)
                .withStoredQuarantine(HashTreePMap.empty());
        for (Feed feed : Feed.values()) {
            next = next.with(feed, next.feed(feed).restored(nowMillis, nextCallAt));
        }
        return keepLeavingTargets(next);
    }

    /** Keeps targets marked as leaving, because the backup may predate their announcement and list them as ready. */
    private static FleetState keepLeavingTargets(FleetState state) {
        FleetState next = state;
        for (Map.Entry<String, FleetTarget> entry : state.targets().entrySet()) {
            next = entry.getValue().isLeaving() ? next.with(entry.getValue().withLeavingAnnounced()) : next;
        }
        return next;
    }
}
