package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.junit.jupiter.api.Test;

/** Runs eighty entries in four zones with in-memory message delivery. */
class LargeFleetTest {
    private static final int MEMBERS = 80;
    private static final int ZONES = 4;
    private static final int MESSAGES_PER_ENTRY_AND_INTERVAL = 6;

    private final Map<String, FleetState> states = new HashMap<>();
    private final Map<String, String> idByAddress = new HashMap<>();
    private final Set<String> stopped = new HashSet<>();
    private final FleetReducer reducer = new FleetReducer();
    private final Deque<Delivery> network = new ArrayDeque<>();
    private long nowMillis = 100_000;
    private int messages;
    private int bulletins;
    private int statusesSent;

    private record Delivery(String receiver, FleetMessage message) {}

    LargeFleetTest() {
        List<FleetMember> members = new ArrayList<>();
        for (int number = 0; number < MEMBERS; number++) {
            String id = "m" + number;
            int link = number < 2 * ZONES ? 200 : 10;
            members.add(new FleetMember(id, id + "/1", "zone-" + number % ZONES, id + ":1", id + ":2", link));
        }
        for (FleetMember member : members) {
            states.put(member.id(), FleetState.initial(member, FleetFixture.BOUNDS));
            idByAddress.put(member.peerAddress(), member.id());
        }
        List<FeedEntry> announced =
                members.stream().<FeedEntry>map(FeedEntry.Member::new).toList();
        for (FleetMember member : members) {
            apply(member.id(), new FleetEvent.FeedRead(nowMillis, Feed.MEMBERS, nowMillis, true, announced, MEMBERS));
        }
    }

    private void apply(String id, FleetEvent event) {
        Reduction reduction = reducer.apply(states.get(id), event);
        states.put(id, reduction.state());
        for (FleetEffect effect : reduction.effects()) {
            if (effect instanceof FleetEffect.SendPeerMessage sent) {
                messages++;
                if (sent.message() instanceof FleetMessage.Bulletin bulletin) {
                    bulletins++;
                    statusesSent += bulletin.changed().size();
                }
                network.add(new Delivery(idByAddress.get(sent.address()), sent.message()));
            }
        }
    }

    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            nowMillis += 50;
            states.keySet().stream()
                    .filter(id -> !stopped.contains(id))
                    .sorted()
                    .forEach(id -> apply(id, new FleetEvent.Ticked(nowMillis)));
            while (!network.isEmpty()) {
                Delivery delivery = network.poll();
                if (!stopped.contains(delivery.receiver())) {
                    apply(delivery.receiver(), new FleetEvent.PeerReceived(nowMillis, delivery.message()));
                }
            }
        }
    }

    private long alivePeers(String id) {
        return states.get(id).peers().values().stream()
                .filter(peer -> peer.isAlive(nowMillis, FleetTimings.peerTimeoutMillis(MEMBERS)))
                .count();
    }

    private boolean allKnow(int members) {
        return states.keySet().stream()
                .filter(id -> !stopped.contains(id))
                .allMatch(id -> alivePeers(id) == members - 1);
    }

    @Test
    void allMembersLearnOfAllMembers() {
        run(3_000);

        assertThat(allKnow(MEMBERS)).isTrue();
    }

    @Test
    void messageCountGrowsLinearlyWithFleetSize() {
        run(3_000);
        messages = 0;

        run(10 * FleetTimings.GROUP_HEARTBEAT_INTERVAL);

        assertThat(messages).isLessThanOrEqualTo(10 * MEMBERS * MESSAGES_PER_ENTRY_AND_INTERVAL);
    }

    @Test
    void bulletinsContainChangedMembersOnly() {
        run(6_000);
        bulletins = 0;
        statusesSent = 0;

        run(9_000);

        assertThat((double) statusesSent / bulletins).isLessThanOrEqualTo(MEMBERS / 8.0);
    }

    @Test
    void restartedMemberLearnsOfAllMembersWithinThreeIntervals() {
        run(6_000);
        String restarted = "m50";
        stopped.add(restarted);
        run(3_000);
        FleetMember member = states.get(restarted).self();
        FleetMember again = new FleetMember(
                restarted, restarted + "/2", member.zone(), member.peerAddress(), member.callerAddress(), 10);
        List<FeedEntry> announced = new ArrayList<>(List.of(new FeedEntry.Member(again)));
        states.forEach((id, state) -> {
            if (!id.equals(restarted)) {
                announced.add(new FeedEntry.Member(state.self()));
            }
        });
        states.put(restarted, FleetState.initial(again, FleetFixture.BOUNDS));
        stopped.remove(restarted);
        apply(restarted, new FleetEvent.FeedRead(nowMillis, Feed.MEMBERS, nowMillis, true, announced, MEMBERS + 1));

        run(3 * FleetTimings.GROUP_HEARTBEAT_INTERVAL);

        assertThat(alivePeers(restarted)).isEqualTo(MEMBERS - 1);
    }

    @Test
    void fleetRecoversFromLossOfAllHubsWithinSeconds() {
        run(3_000);
        for (int number = 0; number < 2 * ZONES; number++) {
            stopped.add("m" + number);
        }

        run(6_000);

        assertThat(allKnow(MEMBERS - 2 * ZONES)).isTrue();
    }

    @Test
    void stoppedEntryIsNotReportedAlive() {
        run(3_000);
        stopped.add("m50");

        run(4_000);

        assertThat(allKnow(MEMBERS - 1)).isTrue();
    }
}
