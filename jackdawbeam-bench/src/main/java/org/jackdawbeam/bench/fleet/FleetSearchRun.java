package org.jackdawbeam.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;

/** Runs the reducers of a few entries under random failures and checks the invariants of the fleet. */
public final class FleetSearchRun {
    private static final double CHAOS_MILLIS = 90_000;
    private static final double RECOVERY_MILLIS = 12_000; // recovery time that the deployments allow
    private static final double PROBE_MILLIS = 1_000;
    private static final double ARRIVAL_MILLIS = 20;
    private static final double ENGINE_LIST_MILLIS = 1_000;
    private static final int ENTRIES = 3;
    private static final double LIMITED_SHARE = 0.6;
    private static final double CHANGING_KEY_SHARE = 0.2;

    private final EventQueue queue = new EventQueue();
    private final Random random;
    private final Optional<Random> restores;
    private final Optional<Random> evacuations;
    private final Optional<Random> versions;
    private final FleetInvariantChecker checker;
    private final SimulatedTargets targets;
    private final FleetSimulation fleet;
    private final FleetFaultInjector faults;
    private final Map<String, List<String>> probes = new TreeMap<>();
    private long number;

    /** Result of a run. */
    public record Result(long seed, int completed, List<FleetViolation> violations) {}

    private FleetSearchRun(
            long seed,
            boolean enginesCheckTokens,
            boolean entriesRelyOnIt,
            boolean storeComesBackOlder,
            boolean evacuates,
            boolean changesVersions) {
        this.random = new Random(seed);
        // A separate source keeps the other failures of a seed the same with and without restores.
        this.restores = storeComesBackOlder ? Optional.of(new Random(-seed)) : Optional.empty();
        this.evacuations = evacuates ? Optional.of(new Random(~seed)) : Optional.empty();
        this.versions = changesVersions ? Optional.of(new Random(seed + (1L << 40))) : Optional.empty();
        this.checker = new FleetInvariantChecker(queue::nowMillis, FleetSearchSite.LIMITED_RATE);
        this.targets = new SimulatedTargets(queue, random, checker);
        this.fleet = new FleetSimulation(queue, random, targets, checker::refused);
        this.faults = new FleetFaultInjector(queue, fleet, targets, checker, random, CHAOS_MILLIS);
        targets.add(engine("e1", FleetSearchSite.ZONE, enginesCheckTokens, "m1", "m2"));
        targets.add(engine("e2", FleetSearchSite.ZONE, enginesCheckTokens, "m3", "m4"));
        String evacuated = evacuates ? FleetSearchSite.EVACUATED_ZONE : FleetSearchSite.ZONE;
        targets.add(engine("e3", evacuated, enginesCheckTokens, "m5"));
        targets.add(engine("e4", FleetSearchSite.ZONE, enginesCheckTokens));
        for (int entry = 0; entry < ENTRIES; entry++) {
            fleet.add("entry-" + entry, FleetSearchSite.ZONE, FleetSearchSite.bounds(entriesRelyOnIt));
        }
    }

    private SimulatedEngine engine(String id, String zone, boolean checksTokens, String... models) {
        return new SimulatedEngine(
                queue, checker, FleetSearchSite.ENGINE, checksTokens, FleetSearchSite.engine(id, zone, Set.of(models)));
    }

    /** Performs a run; engines check fencing tokens only if the seed is even. */
    public static Result run(long seed) {
        boolean checked = seed % 2 == 0;
        return run(seed, checked, checked);
    }

    /** Performs a run in which the store is restored from older copies at random times. */
    public static Result runWithOlderCopies(long seed) {
        boolean checked = seed % 2 == 0;
        FleetSearchRun run = new FleetSearchRun(seed, checked, checked, true, false, false);
        run.perform();
        return new Result(seed, run.checker.completed(), run.checker.violations());
    }

    /** Performs a run in which the zone of one engine is evacuated and taken back at random times. */
    public static Result runWithEvacuations(long seed) {
        boolean checked = seed % 2 == 0;
        FleetSearchRun run = new FleetSearchRun(seed, checked, checked, false, true, false);
        run.perform();
        return new Result(seed, run.checker.completed(), run.checker.violations());
    }

    /** Performs a run in which versions drop models, routes, services and workspaces and bring them back. */
    public static Result runWithVersions(long seed) {
        boolean checked = seed % 2 == 0;
        FleetSearchRun run = new FleetSearchRun(seed, checked, checked, false, false, true);
        run.perform();
        return new Result(seed, run.checker.completed(), run.checker.violations());
    }

    /**
     * Performs a run.
     *
     * @param enginesCheckTokens whether engines reject fencing tokens lower than one seen before
     * @param entriesRelyOnIt whether entries are configured to rely on this check
     */
    static Result run(long seed, boolean enginesCheckTokens, boolean entriesRelyOnIt) {
        FleetSearchRun run = new FleetSearchRun(seed, enginesCheckTokens, entriesRelyOnIt, false, false, false);
        run.perform();
        return new Result(seed, run.checker.completed(), run.checker.violations());
    }

    private void perform() {
        fleet.store()
                .write(
                        Feed.CONFIGURATION,
                        new FeedEntry.Configuration(FleetSearchSite.configuration(1, faults.changingKey())));
        fleet.store().write(Feed.TARGETS, new FeedEntry.Target(FleetSearchSite.service()));
        queue.every(ENGINE_LIST_MILLIS, () -> targets.engines().forEach(faults::announce));
        queue.runUntil(2_000);
        faults.start();
        restores.ifPresent(faults::startRestores);
        evacuations.ifPresent(faults::startEvacuations);
        versions.ifPresent(faults::startVersions);
        queue.every(ARRIVAL_MILLIS, this::arrive);
        queue.runUntil(CHAOS_MILLIS);
        faults.heal();
        queue.every(PROBE_MILLIS, () -> fleet.members().forEach(this::probe));
        queue.runUntil(CHAOS_MILLIS + RECOVERY_MILLIS);
        probes.forEach((probed, ids) -> {
            if (ids.stream().noneMatch(checker::isCompleted)) {
                checker.reportViolation(FleetInvariant.RECOVERY, probed + " is not served");
            }
        });
    }

    private void arrive() {
        SimulatedMember member = fleet.members().get(random.nextInt(ENTRIES));
        if (queue.nowMillis() > CHAOS_MILLIS || !member.isUp()) {
            return;
        }
        boolean chat = random.nextBoolean();
        String model = chat ? FleetSearchSite.MODELS.get(random.nextInt(FleetSearchSite.MODELS.size())) : "";
        boolean adapted = chat && random.nextBoolean();
        String adapter = adapted ? FleetSearchSite.ADAPTERS.get(random.nextInt(FleetSearchSite.ADAPTERS.size())) : "";
        String route = chat ? pick("chat", "letter") : pick("pay", "read");
        send(member, route, key(), model, adapter);
    }

    private String pick(String one, String other) {
        return random.nextBoolean() ? one : other;
    }

    private String key() {
        double drawn = random.nextDouble();
        if (drawn < LIMITED_SHARE) {
            return FleetSearchSite.LIMITED_KEY;
        }
        return drawn < LIMITED_SHARE + CHANGING_KEY_SHARE ? faults.changingKey() : FleetSearchSite.KEY;
    }

    private String send(SimulatedMember member, String route, String key, String model, String adapter) {
        CallerRequest call = FleetSearchSite.call(number++, route, key, model, adapter);
        boolean onceAtMost = route.equals("chat") || route.equals("pay");
        FleetInvariantChecker.SentRequest sent = new FleetInvariantChecker.SentRequest(
                key, queue.nowMillis(), onceAtMost, FleetSearchSite.units(), key.equals(FleetSearchSite.LIMITED_KEY));
        checker.sent(call.callerRequestId(), sent);
        fleet.request(member, call);
        return call.callerRequestId();
    }

    /** Requests every model at an entry; repeated probes stand for callers that retry. */
    private void probe(SimulatedMember member) {
        for (String model : FleetSearchSite.MODELS) {
            probe(member, "letter", model);
        }
        probe(member, "pay", "");
    }

    private void probe(SimulatedMember member, String route, String model) {
        String id = send(member, route, FleetSearchSite.KEY, model, "");
        probes.computeIfAbsent(member.identity().id() + " " + route + " " + model, key -> new ArrayList<>())
                .add(id);
    }
}
