package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.PromptPart;
import org.jackdawbeam.model.fleet.QuarantineReport.QuarantinedParts;
import org.jackdawbeam.model.fleet.TargetStatement;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.AttemptId;

/**
 * A fleet of entries with simulated engines and a service of three copies. A target crashes when it begins to answer a
 * crashing request, or one with a crashing part, loses all its connections, and starts again under the same id some
 * seconds later.
 */
final class CrashingPromptFleet {
    static final long FIRST_PART = 1; // shared by all requests
    private static final long PREFILL_MILLIS = 60;
    private static final long STREAM_MILLIS = 150;
    private static final long RESTART_MILLIS = 3_200;
    private static final long MESSAGE_MILLIS = 2;
    private static final long TICK_MILLIS = 50;
    private static final int SHARED_PARTS = 40;
    private static final int SERVICE_COPIES = 3;

    final List<Long> crashes = new ArrayList<>();
    final List<Arrival> arrivals = new ArrayList<>();
    final Map<String, Outcome> outcomes = new TreeMap<>();
    final Set<Long> crashingParts = new HashSet<>();
    final Set<Long> crashingRequests = new HashSet<>();
    private final Map<QuarantinedGroup, QuarantinedParts> stored = new HashMap<>();
    private final FleetReducer reducer = new FleetReducer();
    private final Map<String, FleetState> states = new TreeMap<>();
    private final Map<String, String> idByAddress = new HashMap<>();
    private final Map<String, Long> startedAtByEngine = new TreeMap<>();
    private final Set<String> crashed = new HashSet<>();
    private final Map<String, CallerRequest> callsById = new HashMap<>();
    private final Map<String, Set<Running>> runningByEngine = new HashMap<>();
    private final PriorityQueue<Timed> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timed::atMillis).thenComparingLong(Timed::number));
    private final Random random;
    private final List<FleetMember> members = new ArrayList<>();
    private double messageLossProbability;
    private long nowMillis = 100_000;
    private long lastNumber;

    /** Arrival of a request with a crashing part at an engine. */
    record Arrival(String request, long atMillis) {}

    /** How a request ended: the time of the first token if it was answered, or the refusal. */
    record Outcome(boolean crashing, long arrivedAtMillis, boolean answered, Optional<Refusal> refusal) {}

    private record Timed(long atMillis, long number, Runnable action) {}

    private record Running(String entry, AttemptId attempt, String request) {}

    CrashingPromptFleet(int entries, int zones, int engines, long seed) {
        this.random = new Random(seed);
        for (int number = 0; number < entries; number++) {
            String id = String.format("m%02d", number);
            int link = number < 2 * zones ? 200 : 10;
            members.add(new FleetMember(id, id + "/1", "zone-" + number % zones, id + ":1", id + ":2", link));
        }
        members.forEach(member -> idByAddress.put(member.peerAddress(), member.id()));
        for (int number = 0; number < engines; number++) {
            startedAtByEngine.put(CrashingTargets.engineId(number), 7L);
        }
        for (int number = 0; number < SERVICE_COPIES; number++) {
            startedAtByEngine.put(CrashingTargets.serviceId(number), 7L);
        }
        members.forEach(this::start);
        after(TICK_MILLIS, this::tick);
    }

    long nowMillis() {
        return nowMillis;
    }

    List<String> entries() {
        return List.copyOf(states.keySet());
    }

    FleetState state(String entry) {
        return states.get(entry);
    }

    void setMessageLossProbability(double probability) {
        messageLossProbability = probability;
    }

    /** Kills an entry and starts it again without any state. */
    void restart(String entry) {
        FleetMember old = states.get(entry).self();
        runningByEngine
                .values()
                .forEach(running -> running.removeIf(item -> item.entry().equals(entry)));
        start(new FleetMember(
                old.id(),
                old.id() + "/" + ++lastNumber,
                old.zone(),
                old.peerAddress(),
                old.callerAddress(),
                old.linkMegabits()));
    }

    private void start(FleetMember member) {
        states.put(member.id(), FleetState.initial(member, FleetFixture.BOUNDS));
        apply(
                member.id(),
                new FleetEvent.FeedRead(
                        nowMillis,
                        Feed.MEMBERS,
                        nowMillis,
                        true,
                        members.stream().<FeedEntry>map(FeedEntry.Member::new).toList(),
                        members.size()));
        apply(
                member.id(),
                read(Feed.CONFIGURATION, new FeedEntry.Configuration(FleetFixture.generousConfiguration(1))));
        apply(member.id(), read(Feed.TARGETS, listedEngines()));
        apply(
                member.id(),
                read(
                        Feed.QUARANTINE,
                        stored.values().stream().map(FeedEntry.Quarantined::new).toArray(FeedEntry[]::new)));
    }

    /** Sends requests to random entries without crashing parts. */
    void load(long millis, int perSecond) {
        load(millis, perSecond, 0, 0);
    }

    /** Sends requests to random entries; the given share carries the part, at a random place before the last part. */
    void load(long millis, int perSecond, double crashingShare, long crashingPart) {
        double interval = 1_000.0 / perSecond;
        for (double at = 0; at < millis; at += interval) {
            boolean crashing = random.nextDouble() < crashingShare;
            List<PromptPart> parts = new ArrayList<>(List.of(new PromptPart(FIRST_PART, 500)));
            parts.add(new PromptPart(1_000 + random.nextInt(SHARED_PARTS), 300));
            if (crashing) {
                parts.add(1 + random.nextInt(2), new PromptPart(crashingPart, 200));
            }
            parts.add(new PromptPart(random.nextLong(), 100));
            String entry = entries().get(random.nextInt(entries().size()));
            after(Math.round(at), () -> call(entry, crashing, "chat", parts));
        }
        run(millis);
    }

    void call(String entry, boolean crashing, String route, List<PromptPart> parts) {
        call(entry, crashing, route, parts, -lastNumber - 1);
    }

    /** Sends a copy of the request with the fingerprint. */
    void call(String entry, boolean crashing, String route, List<PromptPart> parts, long fingerprint) {
        long number = ++lastNumber;
        String id = "request-" + number;
        CallerRequest call = new CallerRequest(
                id,
                "host",
                "/" + route + "/x",
                Optional.of(FleetFixture.KEY),
                4_000,
                parts.isEmpty() ? Optional.empty() : Optional.of("m1"),
                Optional.empty(),
                parts.stream().mapToInt(PromptPart::tokens).sum(),
                20,
                !parts.isEmpty(),
                parts,
                fingerprint);
        callsById.put(id, call);
        outcomes.put(id, new Outcome(crashing, nowMillis, false, Optional.empty()));
        apply(entry, new FleetEvent.RequestArrived(nowMillis, number, call));
    }

    void run(long millis) {
        long end = nowMillis + millis;
        while (!queue.isEmpty() && queue.peek().atMillis() <= end) {
            Timed next = queue.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
        nowMillis = end;
    }

    /** Ends an engine for a reason that no request has caused. */
    void crash(int engine) {
        crash(CrashingTargets.engineId(engine));
    }

    void crashService(int copy) {
        crash(CrashingTargets.serviceId(copy));
    }

    int randomNumber(int bound) {
        return random.nextInt(bound);
    }

    void after(long delayMillis, Runnable action) {
        queue.add(new Timed(nowMillis + delayMillis, ++lastNumber, action));
    }

    /** Resets one connection of an engine that goes on running. */
    void resetOneConnection(int engine) {
        runningByEngine.getOrDefault(CrashingTargets.engineId(engine), Set.of()).stream()
                .min(Comparator.comparing(Running::request))
                .ifPresent(running -> {
                    runningByEngine.get(CrashingTargets.engineId(engine)).remove(running);
                    fail(running);
                });
    }

    /** Resets all connections between an entry and the engines. */
    void resetConnections(String entry) {
        for (Set<Running> running : runningByEngine.values()) {
            List<Running> own =
                    running.stream().filter(item -> item.entry().equals(entry)).toList();
            own.forEach(running::remove);
            own.forEach(this::fail);
        }
    }

    /** Returns the ids of what the store holds as quarantined. */
    Set<Set<Long>> stored() {
        return stored.keySet().stream().map(QuarantinedGroup::ids).collect(Collectors.toSet());
    }

    long refusedAsQuarantined(boolean crashing) {
        return refused(crashing, RefusalCode.PROMPT_QUARANTINED) + refused(crashing, RefusalCode.REQUEST_QUARANTINED);
    }

    private long refused(boolean crashing, RefusalCode code) {
        return outcomes.values().stream()
                .filter(outcome -> outcome.crashing() == crashing)
                .filter(outcome -> outcome.refusal()
                        .filter(refusal -> refusal.code() == code)
                        .isPresent())
                .count();
    }

    /** Returns the share of sound requests that arrived from the given time on and were answered. */
    double answeredShare(long fromMillis, long untilMillis) {
        List<Outcome> sound = outcomes.values().stream()
                .filter(outcome -> !outcome.crashing())
                .filter(outcome -> outcome.arrivedAtMillis() >= fromMillis && outcome.arrivedAtMillis() < untilMillis)
                .toList();
        return sound.stream().filter(Outcome::answered).count() / (double) sound.size();
    }

    private void tick() {
        for (String entry : entries()) {
            apply(entry, read(Feed.CONFIGURATION));
            apply(entry, new FleetEvent.Ticked(nowMillis));
        }
        after(TICK_MILLIS, this::tick);
    }

    private void apply(String entry, FleetEvent event) {
        Reduction reduction = reducer.apply(states.get(entry), event);
        states.put(entry, reduction.state());
        reduction.effects().forEach(effect -> execute(entry, effect));
    }

    private void execute(String entry, FleetEffect effect) {
        switch (effect) {
            case FleetEffect.SendPeerMessage sent -> send(idByAddress.get(sent.address()), sent.message());
            case FleetEffect.StartAttempt start -> start(entry, start);
            case FleetEffect.CancelAttempt cancel ->
                runningByEngine
                        .values()
                        .forEach(running -> running.removeIf(item ->
                                item.entry().equals(entry) && item.attempt().equals(cancel.attempt())));
            case FleetEffect.RefuseRequest refuse ->
                outcomes.computeIfPresent(
                        refuse.callerRequestId(),
                        (id, known) -> new Outcome(
                                known.crashing(), known.arrivedAtMillis(), false, Optional.of(refuse.refusal())));
            case FleetEffect.StoreQuarantine store -> {
                if (store.parts().released()) {
                    stored.remove(store.group());
                } else {
                    stored.put(store.group(), store.parts());
                }
                after(5, () -> apply(entry, new FleetEvent.QuarantineStored(nowMillis, store.group(), true)));
            }
            default -> {
                // Other effects do not matter for engines that crash.
            }
        }
    }

    private void send(String receiver, FleetMessage message) {
        if (random.nextDouble() >= messageLossProbability) {
            after(MESSAGE_MILLIS, () -> apply(receiver, new FleetEvent.PeerReceived(nowMillis, message)));
        }
    }

    private void start(String entry, FleetEffect.StartAttempt start) {
        String engine = start.target().id();
        Running running = new Running(entry, start.attempt(), start.callerRequestId());
        if (isCrashing(start.callerRequestId())) {
            arrivals.add(new Arrival(start.callerRequestId(), nowMillis));
        }
        if (crashed.contains(engine)) {
            after(1, () -> apply(entry, failure(start.attempt(), AttemptFailure.CONNECT_FAILED, false)));
            return;
        }
        Set<Running> others = runningByEngine.computeIfAbsent(engine, id -> new HashSet<>());
        others.add(running);
        long firstTokenMillis = PREFILL_MILLIS + random.nextInt(60) + 5L * others.size();
        after(firstTokenMillis, () -> beginAnswer(engine, running));
    }

    private void beginAnswer(String engine, Running running) {
        if (!runningByEngine.get(engine).contains(running)) {
            return;
        }
        if (isCrashing(running.request())) {
            crash(engine);
            return;
        }
        outcomes.computeIfPresent(
                running.request(),
                (id, known) -> new Outcome(known.crashing(), known.arrivedAtMillis(), true, Optional.empty()));
        apply(
                running.entry(),
                new FleetEvent.AttemptAnswered(
                        nowMillis, running.attempt(), 200, false, true, TargetStatement.empty()));
        apply(running.entry(), new FleetEvent.AttemptStreaming(nowMillis, running.attempt()));
        after(STREAM_MILLIS, () -> {
            if (runningByEngine.get(engine).remove(running)) {
                apply(running.entry(), new FleetEvent.AttemptCompleted(nowMillis, running.attempt(), 0));
            }
        });
    }

    private void crash(String engine) {
        if (!crashed.add(engine)) {
            return;
        }
        crashes.add(nowMillis);
        Set<Running> lost = runningByEngine.getOrDefault(engine, Set.of());
        runningByEngine.put(engine, new HashSet<>());
        lost.stream().sorted(Comparator.comparing(Running::request)).forEach(this::fail);
        after(RESTART_MILLIS, () -> {
            crashed.remove(engine);
            startedAtByEngine.put(engine, nowMillis);
            entries().forEach(entry -> apply(entry, read(Feed.TARGETS, listedEngines())));
        });
    }

    private void fail(Running running) {
        apply(running.entry(), failure(running.attempt(), AttemptFailure.CONNECTION_LOST, true));
    }

    private FleetEvent failure(AttemptId attempt, AttemptFailure failure, boolean written) {
        return new FleetEvent.AttemptFailed(nowMillis, attempt, failure, written);
    }

    private boolean isCrashing(String request) {
        CallerRequest call = callsById.get(request);
        List<PromptPart> prompt = call.prompt();
        return crashingRequests.contains(call.fingerprint())
                || !prompt.isEmpty()
                        && prompt.subList(0, prompt.size() - 1).stream()
                                .anyMatch(part -> crashingParts.contains(part.id()));
    }

    private FleetEvent read(Feed feed, FeedEntry... entries) {
        return new FleetEvent.FeedRead(nowMillis, feed, nowMillis, false, List.of(entries), 1);
    }

    private FeedEntry[] listedEngines() {
        return startedAtByEngine.entrySet().stream()
                .filter(engine -> !crashed.contains(engine.getKey()))
                .map(engine -> CrashingTargets.listed(engine.getKey(), engine.getValue()))
                .toArray(FeedEntry[]::new);
    }
}
