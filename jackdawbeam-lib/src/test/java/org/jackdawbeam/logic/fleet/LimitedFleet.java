package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.fleet.TargetStatement;

/** Entries with requests of their own before targets of one service, one of which limits its requests. */
final class LimitedFleet {
    static final String LIMITED = "s";
    private static final long ANSWER_MILLIS = 60;
    private static final long TICK_MILLIS = 50;

    final Map<String, FleetFixture> hosts = new TreeMap<>();
    final List<Long> arrivals = new ArrayList<>();
    final Map<String, List<Long>> arrivalsByTarget = new TreeMap<>();
    final List<FleetEffect.RefuseRequest> refusals = new ArrayList<>();
    long nowMillis = 100_000;
    OptionalDouble limit = OptionalDouble.empty();
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::atMillis).thenComparingLong(Due::number));
    private long scheduled;

    private record Due(long atMillis, long number, Runnable action) {}

    /** Creates entries and plain targets; the first target is the limited one. */
    LimitedFleet(int hostCount, int targetCount) {
        for (int host = 0; host < hostCount; host++) {
            FleetFixture fixture = new FleetFixture(FleetFixture.member("host-" + (char) ('a' + host)));
            fixture.nowMillis = nowMillis;
            hosts.put(fixture.state.self().id(), fixture);
            fixture.configure(FleetFixture.generousConfiguration(1));
            for (int target = 0; target < targetCount; target++) {
                fixture.listTargets(FleetFixture.service(LIMITED + "x".repeat(target)));
            }
        }
        introduce();
    }

    private void introduce() {
        for (FleetFixture fixture : hosts.values()) {
            FeedEntry[] members = hosts.values().stream()
                    .map(other -> new FeedEntry.Member(other.state.self()))
                    .toArray(FeedEntry[]::new);
            fixture.read(Feed.MEMBERS, nowMillis, members);
        }
    }

    private void after(long millis, Runnable action) {
        queue.add(new Due(nowMillis + millis, scheduled++, action));
    }

    void request(String host, String route) {
        FleetFixture fixture = hosts.get(host);
        fixture.nowMillis = nowMillis;
        fixture.call(route);
        execute(host);
    }

    /** Advances the clock; requests arrive at each entry at the given interval. */
    void run(long millis, long intervalMillis, String route) {
        long end = nowMillis + millis;
        for (long next = nowMillis; next < end; next += TICK_MILLIS) {
            advanceTo(next);
            for (String host : List.copyOf(hosts.keySet())) {
                apply(host, new FleetEvent.Ticked(nowMillis));
                readConfiguration(host);
                if (next % intervalMillis == 0) {
                    request(host, route);
                }
            }
        }
        advanceTo(end);
    }

    private void readConfiguration(String host) {
        FleetFixture fixture = hosts.get(host);
        fixture.nowMillis = nowMillis;
        fixture.read(Feed.CONFIGURATION, nowMillis);
        execute(host);
    }

    private void advanceTo(long untilMillis) {
        while (!queue.isEmpty() && queue.peek().atMillis() <= untilMillis) {
            Due due = queue.poll();
            nowMillis = due.atMillis();
            due.action().run();
        }
        nowMillis = untilMillis;
    }

    private void apply(String host, FleetEvent event) {
        FleetFixture fixture = hosts.get(host);
        if (fixture == null) {
            return;
        }
        fixture.nowMillis = nowMillis;
        fixture.apply(event);
        execute(host);
    }

    private void execute(String host) {
        for (FleetEffect effect : List.copyOf(hosts.get(host).effects)) {
            switch (effect) {
                case FleetEffect.StartAttempt start -> start(host, start);
                case FleetEffect.RefuseRequest refused -> refusals.add(refused);
                case FleetEffect.SendPeerMessage sent ->
                    hosts.keySet().stream()
                            .filter(id -> sent.address()
                                    .equals(FleetFixture.member(id).peerAddress()))
                            .findFirst()
                            .ifPresent(id ->
                                    after(2, () -> apply(id, new FleetEvent.PeerReceived(nowMillis, sent.message()))));
                default -> {
                    // Other effects do not concern the targets.
                }
            }
        }
    }

    private void start(String host, FleetEffect.StartAttempt start) {
        boolean limited = start.target().id().equals(LIMITED);
        arrivalsByTarget
                .computeIfAbsent(start.target().id(), id -> new ArrayList<>())
                .add(nowMillis);
        if (limited) {
            arrivals.add(nowMillis);
        }
        TargetStatement statement = new TargetStatement(
                Optional.empty(), false, OptionalLong.empty(), limited ? limit : OptionalDouble.empty());
        after(ANSWER_MILLIS, () -> {
            apply(host, new FleetEvent.AttemptAnswered(nowMillis, start.attempt(), 200, false, true, statement));
            apply(host, new FleetEvent.AttemptCompleted(nowMillis, start.attempt(), 0));
        });
    }

    /** Adds an entry that knows what the others have been told of members, targets and the configuration. */
    void addHost(String id, FleetBounds bounds, FleetConfiguration configuration, TargetDescription... targets) {
        FleetFixture fixture = new FleetFixture(FleetFixture.member(id));
        fixture.nowMillis = nowMillis;
        hosts.put(id, fixture);
        configure(fixture, bounds, configuration);
        fixture.listTargets(targets);
        introduce();
    }

    /** Gives all entries other bounds and a newer configuration. */
    void configure(FleetBounds bounds, FleetConfiguration configuration) {
        hosts.values().forEach(fixture -> configure(fixture, bounds, configuration));
    }

    private void configure(FleetFixture fixture, FleetBounds bounds, FleetConfiguration configuration) {
        fixture.nowMillis = nowMillis;
        fixture.apply(new FleetEvent.BoundsChanged(nowMillis, bounds));
        fixture.configure(configuration);
    }

    /** Tells all entries what targets publish of themselves. */
    void listTargets(TargetDescription... targets) {
        for (String host : List.copyOf(hosts.keySet())) {
            FleetFixture fixture = hosts.get(host);
            fixture.nowMillis = nowMillis;
            fixture.listTargets(targets);
            execute(host);
        }
    }

    /** Returns the largest number of requests at the limited target in any time of the given length. */
    long most(long fromMillis, long lengthMillis) {
        return most(arrivals, fromMillis, lengthMillis);
    }

    /** Returns the largest number of the given arrivals in any time of the given length. */
    static long most(List<Long> arrivals, long fromMillis, long lengthMillis) {
        return arrivals.stream()
                .filter(start -> start >= fromMillis)
                .mapToLong(start -> arrivals.stream()
                        .filter(at -> at >= start && at < start + lengthMillis)
                        .count())
                .max()
                .orElse(0);
    }
}
