package org.jackdawbeam.logic.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.OrderResponse;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.log.OrderAction;

/** An engine that counts orders, reports with a delay, and notes whether it was ordered to hold more than it can. */
final class OrderedEngine {
    private static final int MODELS = 2;
    private static final int ADAPTERS = 2;
    private static final long LOAD_MILLIS = 600;
    private static final long REPORT_AGE_MILLIS = 200;

    private final Map<String, Set<String>> held = new HashMap<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private long startedAtMillis;
    private long orderCount;
    private long fencingToken;
    private String changing = "";
    private boolean unloading;
    private long changedAtMillis;
    private boolean overfilled;

    private record Snapshot(long atMillis, TargetReport report) {}

    OrderedEngine(long startedAtMillis, Set<String> models) {
        this.startedAtMillis = startedAtMillis;
        models.forEach(model -> held.put(model, new HashSet<>()));
        snapshots.add(new Snapshot(0, snapshot()));
    }

    boolean overfilled() {
        return overfilled;
    }

    long startedAtMillis() {
        return startedAtMillis;
    }

    Set<String> models() {
        return Set.copyOf(held.keySet());
    }

    /** Starts again, empty, under the same id. */
    void restart(long nowMillis) {
        startedAtMillis++;
        orderCount = 0;
        fencingToken = 0;
        changing = "";
        held.clear();
        snapshots.clear();
        snapshots.add(new Snapshot(nowMillis, snapshot()));
    }

    void advance(long nowMillis) {
        if (!changing.isEmpty() && nowMillis - changedAtMillis >= LOAD_MILLIS) {
            if (unloading) {
                held.remove(changing);
            } else {
                held.put(changing, new HashSet<>());
            }
            changing = "";
        }
        snapshots.add(new Snapshot(nowMillis, snapshot()));
        while (snapshots.peek().atMillis() < nowMillis - REPORT_AGE_MILLIS && snapshots.size() > 1) {
            snapshots.remove();
        }
    }

    TargetReport report() {
        return snapshots.peek().report();
    }

    OrderResponse order(EngineOrder order, long nowMillis) {
        if (order.fencingToken() < fencingToken) {
            return OrderResponse.FENCED;
        }
        if (!changing.isEmpty() || order.expectedCount() != orderCount) {
            return OrderResponse.CONFLICT;
        }
        fencingToken = order.fencingToken();
        boolean load = order.action() == OrderAction.LOAD_MODEL || order.action() == OrderAction.LOAD_ADAPTER;
        Set<String> adapters = held.get(order.model());
        boolean present =
                adapters != null && order.adapter().map(adapters::contains).orElse(true);
        if (load == present) {
            return OrderResponse.HOLDS;
        }
        if (order.adapter().isPresent() && adapters == null) {
            return OrderResponse.REJECTED;
        }
        orderCount++;
        return execute(order, load, nowMillis);
    }

    private OrderResponse execute(EngineOrder order, boolean load, long nowMillis) {
        if (order.adapter().isEmpty()) {
            changing = order.model();
            unloading = !load;
            changedAtMillis = nowMillis;
            overfilled |= load && held.size() + 1 > MODELS;
            return OrderResponse.ACCEPTED;
        }
        Set<String> adapters = held.get(order.model());
        if (!load) {
            adapters.remove(order.adapter().get());
            return OrderResponse.HOLDS;
        }
        adapters.add(order.adapter().get());
        overfilled |= held.values().stream().mapToInt(Set::size).sum() > ADAPTERS;
        return OrderResponse.ACCEPTED;
    }

    private TargetReport snapshot() {
        Map<String, Set<String>> adapters = new HashMap<>();
        held.forEach((model, names) -> adapters.put(model, Set.copyOf(names)));
        return new TargetReport(models(), Map.copyOf(adapters), !changing.isEmpty(), orderCount, startedAtMillis);
    }
}
