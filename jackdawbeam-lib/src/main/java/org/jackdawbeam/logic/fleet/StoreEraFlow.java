package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.jackdawbeam.model.fleet.Feed;

/**
 * Starts anew with a store that has come back from an older copy: everything is read from the newest entries, this
 * member is announced again, and nobody holds the placement duty by a record that may be gone. What is known of the
 * configuration, of withdrawn keys and of leaving targets stays.
 */
final class StoreEraFlow {
    private static final int READ_SPREAD_MILLIS = 400; // keeps entries from asking for everything at the same moment

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
        long askAt = nowMillis + Math.floorMod(state.self().incarnation().hashCode(), READ_SPREAD_MILLIS);
        FleetState next = state.with(new StoreEra(OptionalLong.of(event.era()), nowMillis, false))
                .with(Leadership.unknown().withNextCallAt(askAt))
                .with(Announcement.PENDING);
        for (Feed feed : Feed.values()) {
            next = next.with(feed, next.feed(feed).restored(nowMillis, askAt));
        }
        return keepLeavingTargets(next);
    }

    /** The copy may list a target as ready that has said since that it leaves. */
    private static FleetState keepLeavingTargets(FleetState state) {
        FleetState next = state;
        for (Map.Entry<String, FleetTarget> entry : state.targets().entrySet()) {
            next = entry.getValue().isLeaving() ? next.with(entry.getValue().withLeavingAnnounced()) : next;
        }
        return next;
    }
}
