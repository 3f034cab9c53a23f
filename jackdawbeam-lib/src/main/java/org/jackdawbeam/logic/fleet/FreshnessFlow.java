package org.jackdawbeam.logic.fleet;

import java.util.List;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.FleetMessage.Digest;

/**
 * Shares, in a small fleet, how new the configuration is. Few entries keep asking the store; after each answer they
 * tell every other entry which heartbeat of its own they had heard when they asked, so that no clocks are compared. An
 * entry that hears nothing asks by itself.
 */
final class FreshnessFlow {
    private static final int READERS = 2; // one may be down or cut off
    /** Age from which an entry asks by itself: two waits of a reader, a heartbeat, and some time on the way. */
    private static final long DIRECT_READ_AGE_MILLIS = 1_300;

    private FreshnessFlow() {}

    /** Returns whether this entry asks the store for the configuration. */
    static boolean readsDirectly(FleetState state, long nowMillis) {
        return isReader(state, nowMillis)
                || state.hub().behind()
                || !state.feed(Feed.CONFIGURATION).isFresh(nowMillis, DIRECT_READ_AGE_MILLIS);
    }

    /** Returns whether this entry is one of those that ask all the time. */
    static boolean isReader(FleetState state, long nowMillis) {
        return PeerFlow.rank(state, nowMillis) < READERS;
    }

    /** Tells the others of a small fleet up to which of their heartbeats the configuration is known. */
    static void confirmAll(FleetState state, FleetEvent.FeedRead read, List<FleetEffect> effects) {
        long silence = FleetTimings.peerTimeoutMillis(state.memberCount());
        for (FleetPeer then : state.peersAtConfigurationRead().values()) {
            FleetPeer now = state.peers().get(then.member().id());
            boolean same = now != null
                    && now.member().incarnation().equals(then.member().incarnation());
            if (same && now.isAlive(read.nowMillis(), silence)) {
                then.stampMillis().ifPresent(stamp -> confirm(state, now.member(), stamp, read, effects));
            }
        }
    }

    /** Tells the entries that report to this hub the same. */
    static void confirmGroup(FleetState state, FleetEvent.FeedRead read, List<FleetEffect> effects) {
        for (HubState.Received<Digest> member : state.hub().group().values()) {
            if (member.atMillis() <= read.askedAtMillis()) {
                Digest heartbeat = member.message();
                confirm(state, heartbeat.member(), heartbeat.stampMillis(), read, effects);
            }
        }
    }

    private static void confirm(
            FleetState state,
            FleetMember member,
            long stampMillis,
            FleetEvent.FeedRead read,
            List<FleetEffect> effects) {
        FleetMessage end = new FleetMessage.ConfigurationEnd(
                state.self().id(),
                member.incarnation(),
                stampMillis,
                state.storeEra().number(),
                read.nextOffset());
        effects.add(new FleetEffect.SendPeerMessage(member.peerAddress(), end));
    }
}
