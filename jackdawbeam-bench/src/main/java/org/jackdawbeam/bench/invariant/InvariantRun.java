package org.jackdawbeam.bench.invariant;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.bench.harness.Fleet;
import org.jackdawbeam.bench.harness.Network;
import org.jackdawbeam.bench.harness.Node;
import org.jackdawbeam.logic.entry.EntryOptions;
import org.jackdawbeam.model.log.LogEntry;
import org.jackdawbeam.model.request.Call;

/** Runs a small fleet under random failures drawn from a seed and checks its invariants. */
public final class InvariantRun {
    private static final int NODES = 5;
    private static final double FAULTS_MILLIS = 60_000;
    private static final double HEALED_MILLIS = 60_000;
    private static final double QUIET_MILLIS = 15_000;
    private static final double REQUEST_INTERVAL_MILLIS = 15;
    private static final int PAYMENT_KEYS = 400;
    private static final long SNAPSHOT_RECORDS = 300;

    private final EventQueue queue = new EventQueue();
    private final EntryOptions options;
    private final Random random;
    private final InvariantChecker checker;
    private final Fleet fleet;
    private final FaultInjector faults;
    private long nextRequest = 1;

    /**
     * Result of a run.
     *
     * @param violations invariant violations; empty if all invariants held
     * @param completed number of complete answers
     * @param refused number of refusals
     * @param log all log entries that were appended
     */
    public record Result(long seed, List<Violation> violations, int completed, int refused, List<LogEntry> log) {}

    private InvariantRun(long seed, EntryOptions options) {
        this.options = options;
        this.random = new Random(seed);
        this.checker = new InvariantChecker(queue, options.timings());
        this.fleet = new Fleet(queue, Network.faulty(seed + 1), options, checker);
        this.faults = new FaultInjector(queue, fleet, checker, seed + 2, FAULTS_MILLIS);
        checker.watch(fleet);
    }

    /** Returns the daemon's default options, but with snapshots frequent enough for a log that keeps few records. */
    public static EntryOptions options() {
        EntryOptions defaults = EntryOptions.defaults();
        return defaults.withTimings(defaults.timings().withSnapshotRecords(SNAPSHOT_RECORDS));
    }

    /** Performs a run. */
    public static Result run(long seed, EntryOptions options) {
        return new InvariantRun(seed, options).perform(seed);
    }

    private Result perform(long seed) {
        fleet.addTargets(InvariantFixture.bundle(0), 400);
        for (int number = 0; number < NODES; number++) {
            fleet.addNode("entry-" + number, InvariantFixture.zone(number));
        }
        queue.after(
                1_000,
                () -> fleet.submitOperatorRequest(
                        fleet.nodes().getFirst(), fleet.roll(InvariantFixture.bundle(0), 0, "variant-0")));
        queue.after(2_000, faults::start);
        queue.every(REQUEST_INTERVAL_MILLIS, this::sendRequest);
        queue.runUntil(FAULTS_MILLIS);
        faults.heal();
        queue.runUntil(FAULTS_MILLIS + HEALED_MILLIS);
        checkHealed();
        queue.runUntil(FAULTS_MILLIS + HEALED_MILLIS + QUIET_MILLIS);
        checkQuiet();
        checker.finish();
        return new Result(
                seed,
                checker.violations(),
                checker.completed(),
                checker.refused(),
                fleet.log().all());
    }

    private void sendRequest() {
        Node node = fleet.nodes().get(random.nextInt(NODES));
        boolean ended = queue.nowMillis() > FAULTS_MILLIS + HEALED_MILLIS;
        if (!node.isUp() || ended) {
            return;
        }
        int key = random.nextInt(InvariantFixture.KEYS);
        Call call = random.nextBoolean() ? payment(key) : completion();
        fleet.request(node, nextRequest++, Fleet.requestTemplate(InvariantFixture.credential(key), call), 4);
    }

    private Call payment(int key) {
        int window = (int) (queue.nowMillis() / 10_000);
        String id = "pay-" + window + "-" + random.nextInt(PAYMENT_KEYS / 10) + "-" + InvariantFixture.workspaceOf(key);
        return new Call.ServiceCall(InvariantFixture.SERVICE + "/fees", Optional.of(id), "digest-" + id);
    }

    private Call completion() {
        String model = "model-" + random.nextInt(InvariantFixture.MODELS);
        return new Call.CompletionCall(model, 4 + random.nextInt(20), List.of(), 4, true);
    }

    /** Checks that all entries use the same configuration and all models are resident after the faults ended. */
    private void checkHealed() {
        Set<Long> versions = new HashSet<>();
        fleet.nodes().forEach(node -> versions.add(node.state().log().folded().version()));
        if (versions.size() != 1) {
            checker.reportViolation(Invariant.CONFIGURATION_EVERYWHERE, "versions in force: " + versions);
        }
        for (Node node : fleet.nodes()) {
            long now = queue.currentTimeMillis();
            boolean serving = node.state().membership().holdsLease(now, options.timings())
                    && node.state().limits().share() > 0;
            if (!serving) {
                checker.reportViolation(
                        Invariant.CONFIGURATION_EVERYWHERE, node.hostId() + " holds no share: " + describe(node));
            }
        }
        for (int number = 0; number < InvariantFixture.MODELS; number++) {
            String model = "model-" + number;
            boolean resident = fleet.engines().values().stream().anyMatch(engine -> engine.holds(model));
            if (!resident) {
                checker.reportViolation(Invariant.EVERY_MODEL_REACHABLE, model + " is resident on no engine");
            }
        }
    }

    private void checkQuiet() {
        for (Node node : fleet.nodes()) {
            int open = node.state().requests().byId().size();
            if (open > 0) {
                checker.reportViolation(
                        Invariant.EVERY_REQUEST_ENDS,
                        node.hostId() + " still has " + open + " open requests: "
                                + node.state()
                                        .requests()
                                        .byId()
                                        .values()
                                        .iterator()
                                        .next());
            }
        }
    }

    private String describe(Node node) {
        var membership = node.state().membership();
        return "epoch=" + membership.epochNumber() + " settled=" + membership.settledEpoch() + " member="
                + membership.isMember() + " share=" + membership.usableShare() + " losses=" + membership.revocations();
    }
}
