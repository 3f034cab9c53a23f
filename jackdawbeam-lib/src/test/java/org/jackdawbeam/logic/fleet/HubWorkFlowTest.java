package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;
import org.jackdawbeam.model.fleet.PromptPart;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs entries that report to hubs in three zones, before two engines with the same model. */
class HubWorkFlowTest {
    private static final int MEMBERS = 24;
    private static final int ZONES = 3;
    private static final long TICK_MILLIS = 50;
    private static final int PROMPT_TOKENS = 8_000;
    /** The shortest objective for pauses of streams: a choice by older load can miss it. */
    private static final long PAUSE_OBJECTIVE_MILLIS = 200;

    private final FleetReducer reducer = new FleetReducer();
    private final Map<String, FleetState> states = new TreeMap<>();
    private final Map<String, String> idByAddress = new HashMap<>();
    private final Deque<Delivery> network = new ArrayDeque<>();
    private final Map<String, FleetEffect.StartAttempt> started = new HashMap<>();
    private boolean losesWorkChanges;
    private long nowMillis = 100_000;
    private long requests;

    private record Delivery(String receiver, FleetMessage message) {}

    @BeforeEach
    void start() {
        List<FeedEntry> members = new ArrayList<>();
        for (int number = 0; number < MEMBERS; number++) {
            String id = "m" + number;
            int link = number < ZONES ? 200 : 10;
            FleetMember member = new FleetMember(id, id + "/1", "zone-" + number % ZONES, id + ":1", id + ":2", link);
            members.add(new FeedEntry.Member(member));
            states.put(id, FleetState.initial(member, FleetFixture.BOUNDS));
            idByAddress.put(member.peerAddress(), id);
        }
        for (String id : states.keySet()) {
            read(id, Feed.MEMBERS, members);
            read(id, Feed.CONFIGURATION, List.of(new FeedEntry.Configuration(FleetFixture.generousConfiguration(1))));
            read(
                    id,
                    Feed.TARGETS,
                    List.of(
                            new FeedEntry.Target(FleetFixture.engine("e1", "m1")),
                            new FeedEntry.Target(FleetFixture.engine("e2", "m1"))));
        }
        run(3_000);
    }

    private void read(String id, Feed feed, List<FeedEntry> entries) {
        apply(id, new FleetEvent.FeedRead(nowMillis, feed, nowMillis, true, entries, entries.size()));
    }

    private void apply(String id, FleetEvent event) {
        Reduction reduction = reducer.apply(states.get(id), event);
        states.put(id, reduction.state());
        for (FleetEffect effect : reduction.effects()) {
            if (effect instanceof FleetEffect.SendPeerMessage sent) {
                network.add(new Delivery(idByAddress.get(sent.address()), sent.message()));
            }
            if (effect instanceof FleetEffect.StartAttempt attempt) {
                started.put(id, attempt);
            }
        }
    }

    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            nowMillis += TICK_MILLIS;
            for (String id : List.copyOf(states.keySet())) {
                apply(id, new FleetEvent.FeedRead(nowMillis, Feed.CONFIGURATION, nowMillis, false, List.of(), 1));
                apply(id, new FleetEvent.Ticked(nowMillis));
            }
            deliver();
        }
    }

    private void deliver() {
        while (!network.isEmpty()) {
            Delivery delivery = network.poll();
            boolean lost = losesWorkChanges && delivery.message() instanceof FleetMessage.WorkChange;
            if (!lost) {
                apply(delivery.receiver(), new FleetEvent.PeerReceived(nowMillis, delivery.message()));
            }
        }
    }

    /** Sends a request with a long prompt of its own to an entry, and returns the engine that the entry chooses. */
    private String prompt(String id) {
        requests++;
        CallerRequest call = new CallerRequest(
                "request-" + requests,
                "host",
                "/letter/x",
                Optional.of(FleetFixture.KEY),
                4_000,
                Optional.of("m1"),
                Optional.empty(),
                PROMPT_TOKENS,
                0,
                true,
                List.of(new PromptPart(requests, PROMPT_TOKENS)),
                requests);
        apply(id, new FleetEvent.RequestArrived(nowMillis, requests, call));
        deliver();
        return started.get(id).target().id();
    }

    private Set<Long> unreadTokensKnownAt(String target) {
        Set<Long> known = new HashSet<>();
        for (FleetState state : states.values()) {
            known.add(Optional.ofNullable(state.hub().fleetWork().get(target))
                    .map(TargetWork::unreadTokens)
                    .orElse(0L));
        }
        return known;
    }

    /** Guards against entries that choose the same engine one after another because they learn of its load too late. */
    @Test
    void allEntriesKnowOfAPromptWithinThePauseObjective() {
        for (int number = 3; number < MEMBERS; number++) {
            String target = prompt("m" + number);
            run(PAUSE_OBJECTIVE_MILLIS);

            assertThat(unreadTokensKnownAt(target)).as("prompt at m%d", number).containsExactly((long) PROMPT_TOKENS);

            apply(
                    "m" + number,
                    new FleetEvent.AttemptStreaming(
                            nowMillis, started.get("m" + number).attempt()));
            run(PAUSE_OBJECTIVE_MILLIS);

            assertThat(unreadTokensKnownAt(target)).as("answer at m%d", number).containsExactly(0L);
        }
    }

    @Test
    void heartbeatsMakeUpForLostMessages() {
        losesWorkChanges = true;
        String target = prompt("m5");

        run(4 * FleetTimings.GROUP_HEARTBEAT_INTERVAL);

        assertThat(unreadTokensKnownAt(target)).containsExactly((long) PROMPT_TOKENS);
    }

    @Test
    void entriesWithoutRequestsSendNoChanges() {
        run(2 * FleetTimings.GROUP_HEARTBEAT_INTERVAL);
        network.clear();
        nowMillis += TICK_MILLIS;
        states.keySet().forEach(id -> apply(id, new FleetEvent.Ticked(nowMillis)));

        assertThat(network).noneMatch(delivery -> delivery.message() instanceof FleetMessage.WorkChange);
    }
}
