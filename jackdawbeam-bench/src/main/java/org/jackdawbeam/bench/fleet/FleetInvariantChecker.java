package org.jackdawbeam.bench.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.Refusal;

/** Observes a fleet from the point of view of targets and callers and records invariant violations. */
final class FleetInvariantChecker {
    private static final double WINDOW_MILLIS = 8_000; // rate limit window of the deployments
    private static final double SLACK_UNITS = 17_000; // slack per window that the deployments allow
    private static final double OVERSHOOT_FACTOR = 1.1; // on rate and burst, as the deployments allow
    private static final double WITHDRAWAL_MILLIS = 5_000;
    private static final double EVACUATION_MILLIS = 5_000;

    private final DoubleSupplier clock;
    private final double rate;
    private final Map<String, SentRequest> requests = new HashMap<>();
    private final Map<String, Integer> executions = new HashMap<>();
    private final Set<String> refusedAsNotRun = new HashSet<>();
    private final Map<String, Double> withdrawnAt = new HashMap<>();
    private final Map<String, Double> evacuatedAt = new HashMap<>();
    private final Map<Long, String> holders = new HashMap<>();
    private final Deque<Spent> spent = new ArrayDeque<>();
    private final List<FleetViolation> violations = new ArrayList<>();
    private final Set<String> completed = new HashSet<>();

    /** Properties of a request as its caller sent it. */
    record SentRequest(String key, double atMillis, boolean onceAtMost, double units, boolean limited) {}

    private record Spent(double atMillis, double units) {}

    FleetInvariantChecker(DoubleSupplier clock, double ratePerSecond) {
        this.clock = clock;
        this.rate = ratePerSecond;
    }

    List<FleetViolation> violations() {
        return List.copyOf(violations);
    }

    int completed() {
        return completed.size();
    }

    boolean isCompleted(String id) {
        return completed.contains(id);
    }

    void reportViolation(FleetInvariant invariant, String details) {
        violations.add(new FleetViolation(clock.getAsDouble(), invariant, details));
    }

    void sent(String id, SentRequest request) {
        requests.put(id, request);
    }

    void completed(String id) {
        completed.add(id);
    }

    void withdrawn(String key) {
        withdrawnAt.put(key, clock.getAsDouble());
    }

    void evacuated(String zone) {
        evacuatedAt.put(zone, clock.getAsDouble());
    }

    void evacuationEnded(String zone) {
        evacuatedAt.remove(zone);
    }

    /** Records that a request was executed by a target of a zone. */
    void executed(String id, String zone) {
        double late = clock.getAsDouble() - evacuatedAt.getOrDefault(zone, Double.MAX_VALUE);
        if (late > EVACUATION_MILLIS) {
            reportViolation(FleetInvariant.EVACUATED_ZONE, id + " executed " + late + " ms after the request");
        }
        executed(id);
    }

    void ordered(EngineOrder order, String holder) {
        String first = holders.putIfAbsent(order.fencingToken(), holder);
        if (first != null && !first.equals(holder)) {
            reportViolation(FleetInvariant.ONE_HOLDER_PER_TOKEN, first + " and " + holder + " at " + order);
        }
    }

    void refused(String id, Refusal refusal) {
        if (refusal.ran() != ExecutionStatus.NO) {
            return;
        }
        refusedAsNotRun.add(id);
        if (requests.get(id).onceAtMost() && executions.containsKey(id)) {
            reportViolation(FleetInvariant.TRUE_REFUSAL, id + " " + refusal + " had been executed");
        }
    }

    private void executed(String id) {
        SentRequest request = requests.get(id);
        int times = executions.merge(id, 1, Integer::sum);
        if (request.onceAtMost() && times > 1) {
            reportViolation(FleetInvariant.ONCE_AT_MOST, id);
        }
        if (request.onceAtMost() && refusedAsNotRun.contains(id)) {
            reportViolation(FleetInvariant.TRUE_REFUSAL, id + " was executed after its refusal");
        }
        double withdrawn = withdrawnAt.getOrDefault(request.key(), Double.MAX_VALUE);
        if (request.atMillis() > withdrawn + WITHDRAWAL_MILLIS) {
            reportViolation(
                    FleetInvariant.WITHDRAWN_KEY,
                    id + " sent " + (request.atMillis() - withdrawn) + " ms after the withdrawal");
        }
        if (request.limited() && times == 1) {
            spend(request.units());
        }
    }

    private void spend(double units) {
        double now = clock.getAsDouble();
        spent.addLast(new Spent(now, units));
        while (spent.getFirst().atMillis < now - WINDOW_MILLIS) {
            spent.removeFirst();
        }
        double sum = spent.stream().mapToDouble(Spent::units).sum();
        if (sum > (rate * WINDOW_MILLIS / 1_000 + rate) * OVERSHOOT_FACTOR + SLACK_UNITS) {
            reportViolation(FleetInvariant.RATE, sum + " units in one window");
        }
    }
}
