package org.jackdawbeam.bench.invariant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.bench.harness.Fleet;
import org.jackdawbeam.bench.harness.FleetObserver;
import org.jackdawbeam.bench.harness.Node;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.logic.request.Phase;
import org.jackdawbeam.logic.request.Request;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.model.request.StoredAnswer;
import org.jackdawbeam.model.settings.EntryTimings;

/** Observes a fleet and records invariant violations. */
final class InvariantChecker implements FleetObserver {
    private static final long WITHDRAWAL_BOUND_MILLIS = 9_000;
    private static final long LEAVING_BOUND_MILLIS = 4_000;
    private static final double ROUNDING = 1e-6;

    private final EventQueue queue;
    private final EntryTimings timings;
    private final List<Violation> violations = new ArrayList<>();
    private final Map<String, Charge> charges = new HashMap<>();
    private final Map<String, Double> withdrawnAt = new HashMap<>();
    private final Map<String, Double> leavingSince = new HashMap<>();
    private final Set<String> answered = new HashSet<>();
    private final Map<String, String> refusedNotRun = new HashMap<>();
    private final Map<String, Long> versions = new HashMap<>();
    private Fleet fleet;
    private int completed;
    private int refused;

    private static final class Charge {
        private final double atMillis;
        private final String workspace;
        private final double tokens;

        Charge(double atMillis, String workspace, double tokens) {
            this.atMillis = atMillis;
            this.workspace = workspace;
            this.tokens = tokens;
        }
    }

    InvariantChecker(EventQueue queue, EntryTimings timings) {
        this.queue = queue;
        this.timings = timings;
    }

    void watch(Fleet watched) {
        fleet = watched;
    }

    List<Violation> violations() {
        return List.copyOf(violations);
    }

    int completed() {
        return completed;
    }

    int refused() {
        return refused;
    }

    void withdrawn(String keyId) {
        withdrawnAt.putIfAbsent(keyId, queue.nowMillis());
    }

    void leaving(String target) {
        leavingSince.put(target, queue.nowMillis());
    }

    void staying(String target) {
        leavingSince.remove(target);
    }

    void reportViolation(Invariant invariant, String details) {
        boolean first = violations.stream().noneMatch(violation -> violation.invariant() == invariant);
        if (first) {
            violations.add(new Violation(queue.nowMillis(), invariant, details));
        }
    }

    @Override
    public void onTransition(Node node, EntryState before, EntryState after) {
        checkVersion(node, after);
        recordCharges(node, before, after);
        if (before.membership() != after.membership()) {
            checkShares();
        }
    }

    /** Checks a dispatch at the time of the decision, as a process that pauses right after it cannot revoke it. */
    private void checkDispatch(Node node, Request request, String target) {
        double now = queue.nowMillis();
        request.keyId().map(withdrawnAt::get).ifPresent(since -> {
            if (now > since + WITHDRAWAL_BOUND_MILLIS) {
                reportViolation(Invariant.WITHDRAWN_KEY_STOPS, request.keyId().get() + " used at " + node.hostId());
            }
        });
        Double leaving = leavingSince.get(target);
        if (leaving != null && now > leaving + LEAVING_BOUND_MILLIS) {
            reportViolation(
                    Invariant.LEAVING_TARGET_GETS_NOTHING,
                    target + " received work from " + node.hostId() + " " + (now - leaving)
                            + " ms after it started to leave; host list requested at "
                            + node.state().hostList().askedAtMillis());
        }
    }

    @Override
    public void onCompleted(Node node, AttemptId attempt) {
        completed++;
        checkAnsweredOnce(node, attempt.requestId());
    }

    @Override
    public void onRefused(Node node, long requestId, Refusal refusal) {
        refused++;
        checkAnsweredOnce(node, requestId);
        if (refusal.ran() == ExecutionStatus.NO) {
            refusedNotRun.put(key(node, requestId), refusal.code().name());
        }
    }

    @Override
    public void onReplayed(Node node, long requestId, StoredAnswer answer) {
        completed++;
        checkAnsweredOnce(node, requestId);
    }

    /** Checks the invariants that can be evaluated only at the end of a run. */
    void finish() {
        checkRuns();
        checkMemory();
        for (String workspace : InvariantFixture.WORKSPACES) {
            checkRate(workspace);
        }
    }

    private void checkAnsweredOnce(Node node, long requestId) {
        if (!answered.add(key(node, requestId))) {
            reportViolation(Invariant.ONE_ANSWER_FOR_EACH_REQUEST, key(node, requestId));
        }
    }

    private void checkVersion(Node node, EntryState after) {
        long version = after.log().folded().version();
        Long last = versions.put(node.hostId() + "/" + node.incarnation(), version);
        if (last != null && version < last) {
            reportViolation(Invariant.VERSION_NEVER_REVERTS, node.hostId() + " from " + last + " to " + version);
        }
    }

    private void recordCharges(Node node, EntryState before, EntryState after) {
        if (before.requests().byId() == after.requests().byId()) {
            return;
        }
        for (Request request : after.requests().byId().values()) {
            Request earlier = before.requests().byId().get(request.id());
            boolean charged = request.isCharged() && (earlier == null || !earlier.isCharged());
            boolean dispatched = request.phase() instanceof Phase.Running
                    && (earlier == null || earlier.attempts() < request.attempts());
            if (dispatched) {
                checkDispatch(node, request, ((Phase.Running) request.phase()).target());
            }
            if (charged) {
                charges.put(
                        key(node, request.id()),
                        new Charge(
                                queue.nowMillis(),
                                request.workspace().orElseThrow(),
                                request.work().cost()));
            }
        }
        for (Request request : before.requests().byId().values()) {
            Optional<Request> later = after.requests().find(request.id());
            boolean refunded = request.isCharged()
                    && later.map(found -> !found.isCharged()).orElse(false);
            if (refunded) {
                charges.remove(key(node, request.id()));
            }
        }
    }

    private void checkShares() {
        double sum = 0;
        long now = queue.currentTimeMillis();
        for (Node node : fleet.nodes()) {
            if (node.isUp() && node.state().membership().holdsLease(now, timings)) {
                sum += node.state().membership().usableShare();
            }
        }
        if (sum > 1 + ROUNDING) {
            reportViolation(Invariant.SHARES_ADD_UP, "shares add up to " + sum);
        }
    }

    private void checkRuns() {
        Map<String, Integer> runs = new HashMap<>();
        fleet.services()
                .values()
                .forEach(service -> service.runsByKey().forEach((key, count) -> runs.merge(key, count, Integer::sum)));
        runs.forEach((key, count) -> {
            if (count > 1) {
                reportViolation(Invariant.AT_MOST_ONCE, key + " ran " + count + " times");
            }
        });
        refusedNotRun.forEach((request, code) -> {
            boolean ran = fleet.services().values().stream().anyMatch(service -> service.executed(request));
            if (ran) {
                reportViolation(Invariant.NOT_RUN_IS_TRUE, request + " was refused with " + code + " and ran");
            }
        });
    }

    private void checkMemory() {
        fleet.engines().values().forEach(engine -> {
            if (!engine.overcommitments().isEmpty()) {
                reportViolation(
                        Invariant.MEMORY_NOT_OVERCOMMITTED,
                        engine.overcommitments().toString());
            }
        });
    }

    /** Replays all charges at their admission times against a token bucket that starts full. */
    private void checkRate(String workspace) {
        var specification = InvariantFixture.bundle(0).workspace(workspace).orElseThrow();
        List<Charge> inOrder = charges.values().stream()
                .filter(charge -> charge.workspace.equals(workspace))
                .sorted(Comparator.comparingDouble(charge -> charge.atMillis))
                .toList();
        double level = specification.burstTokens();
        double lastMillis = 0;
        for (Charge charge : inOrder) {
            double accrued = (charge.atMillis - lastMillis) * specification.tokensPerSecond() / 1_000;
            level = Math.min(specification.burstTokens(), level + accrued) - charge.tokens;
            lastMillis = charge.atMillis;
            if (level < -1) {
                violations.add(new Violation(
                        charge.atMillis, Invariant.RATE_AND_BURST, workspace + " overspent by " + -level));
                return;
            }
        }
    }

    private static String key(Node node, long requestId) {
        return node.hostId() + "/" + node.incarnation() + "/" + requestId;
    }
}
