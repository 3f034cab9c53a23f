package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.FleetMessage.Digest;

/**
 * Shares the freshness of the configuration among entries. Only a few entries read the store continuously. After each
 * read they send every other entry the timestamp of the latest heartbeat that they had received from it before the
 * read, so that no clocks of different hosts are compared. An entry without confirmations reads the store itself.
 */
final class FreshnessFlow {
    private static final int READERS = 2; // one may be down or partitioned
    /** Age from which an entry reads directly: two long polls of a reader, a heartbeat interval and network delay. */
    private static final long DIRECT_READ_AGE_MILLIS = 1_300;

    private FreshnessFlow() {}

    /** Returns whether this entry reads the configuration from the store. */
    static boolean readsDirectly(FleetState state, long nowMillis) {
        return isReader(state, nowMillis)
                || state.hub().behind()
                || !state.feed(Feed.CONFIGURATION).isFresh(nowMillis, DIRECT_READ_AGE_MILLIS);
    }

    /** Returns whether this entry is one of those that read the store continuously. */
    static boolean isReader(FleetState state, long nowMillis) {
        return PeerFlow.rank(state, nowMillis) < READERS;
    }

    /** Sends the peers of a full mesh the heartbeat timestamps as of which the configuration is up to date. */
    static void confirmAll(FleetState state, FleetEvent.FeedRead read, List<FleetEffect> effects) {
        long timeoutMillis = FleetTimings.peerTimeoutMillis(state.memberCount());
        for (FleetPeer then : state.peersAtConfigurationRead().values()) {
            FleetPeer now = state.peers().get(then.member().id());
            boolean same = now != null
                    && now.member().incarnation().equals(then.member().incarnation());
            if (same && now.isAlive(read.nowMillis(), timeoutMillis)) {
                then.stampMillis().ifPresent(stamp -> confirm(state, now.member(), stamp, read, effects));
            }
        }
    }

    /** Sends the same confirmation to the entries that report to this hub. */
    static void confirmGroup(FleetState state, FleetEvent.FeedRead read, List<FleetEffect> effects) {
        HubState hub = state.hub();
        for (Map.Entry<String, HubState.Received<Digest>> member : hub.group().entrySet()) {
            // A read waits for longer than a heartbeat interval, so that the latest heartbeat has mostly come after it.
            Stream.of(member.getValue(), hub.groupAtConfigurationRead().get(member.getKey()))
                    .filter(heartbeat -> heartbeat != null && heartbeat.atMillis() <= read.askedAtMillis())
                    .map(HubState.Received::message)
                    .findFirst()
                    .ifPresent(heartbeat -> confirm(state, heartbeat.member(), heartbeat.stampMillis(), read, effects));
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
