package org.jackdawbeam.bench.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.OrderResponse;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.log.OrderAction;

/** Simulates a model engine that executes orders and reports orders that exceed its memory. */
final class SimulatedEngine {
    private static final double REPORT_AGE_MILLIS = 300;
    private static final double LOAD_MILLIS = 1_200;
    private static final double ADAPTER_MILLIS = 10;
    // minimum time between orders of two holders in the deployments
    private static final double HANDOVER_GAP_MILLIS = 3_000;

    private final EventQueue queue;
    private final FleetInvariantChecker checker;
    private final EngineDefinition definition;
    private final boolean checksTokens;
    private final Map<String, Set<String>> adapters = new HashMap<>();
    private final ReportHistory reports = new ReportHistory(REPORT_AGE_MILLIS);
    private TargetDescription description;
    private String loading = "";
    private long orderCount;
    private long highestToken;
    private String lastHolder = "";
    private double lastOrderMillis;
    private long incarnation;

    SimulatedEngine(
            EventQueue queue,
            FleetInvariantChecker checker,
            EngineDefinition definition,
            boolean checksTokens,
            TargetDescription description) {
        this.queue = queue;
        this.checker = checker;
        this.definition = definition;
        this.checksTokens = checksTokens;
        this.description = description;
        description.models().forEach(model -> adapters.put(model, new HashSet<>()));
    }

    TargetDescription description() {
        return description.withModels(Set.copyOf(adapters.keySet()));
    }

    boolean isLeaving() {
        return description.leaving();
    }

    void leave() {
        describe(description.id(), true);
    }

    /** Restarts empty and under a new id. */
    void restart() {
        incarnation++;
        String id = description.id().split("#")[0] + "#" + incarnation;
        adapters.clear();
        reports.clear();
        loading = "";
        orderCount = 0;
        highestToken = 0;
        lastHolder = "";
        describe(id, false);
    }

    boolean holds(String model, Optional<String> adapter) {
        Set<String> held = adapters.get(model);
        return held != null && adapter.map(held::contains).orElse(true);
    }

    /** Returns a delayed report, as engines do not report their state instantly. */
    TargetReport report() {
        recordReport();
        return reports.current(queue.nowMillis());
    }

    /** Records the arrival of an order, even if it is executed later. */
    void recordArrival(EngineOrder order, String holder) {
        checker.ordered(order, holder);
        boolean holderChanged = !lastHolder.isEmpty() && !lastHolder.equals(holder);
        if (!checksTokens && holderChanged && queue.nowMillis() - lastOrderMillis < HANDOVER_GAP_MILLIS) {
            checker.reportViolation(
                    FleetInvariant.HOLDERS_KEEP_THE_GAP, lastHolder + " and " + holder + " at " + order);
        }
        lastHolder = holder;
        lastOrderMillis = queue.nowMillis();
    }

    OrderResponse order(EngineOrder order) {
        if (!order.target().equals(description.id())) {
            return OrderResponse.REJECTED;
        }
        if (checksTokens && order.fencingToken() < highestToken) {
            return OrderResponse.FENCED;
        }
        if (!loading.isEmpty() || order.expectedCount() != orderCount) {
            return OrderResponse.CONFLICT;
        }
        recordReport();
        highestToken = Math.max(highestToken, order.fencingToken());
        orderCount++;
        execute(order);
        recordReport();
        return OrderResponse.ACCEPTED;
    }

    private void execute(EngineOrder order) {
        long startedIncarnation = incarnation;
        boolean loads = order.action() == OrderAction.LOAD_MODEL || order.action() == OrderAction.LOAD_ADAPTER;
        if (order.adapter().isPresent()) {
            changeAdapter(order.model(), order.adapter().get(), loads);
            return;
        }
        if (loads) {
            checkFit(weight(order.model()), order.model());
        }
        loading = order.model();
        queue.after(loads ? LOAD_MILLIS : ADAPTER_MILLIS, () -> {
            if (startedIncarnation == incarnation) {
                recordReport();
                finish(order.model(), loads);
                recordReport();
            }
        });
    }

    private void finish(String model, boolean loads) {
        loading = "";
        if (loads) {
            adapters.putIfAbsent(model, new HashSet<>());
        } else {
            adapters.remove(model);
        }
    }

    private void changeAdapter(String model, String adapter, boolean loads) {
        Set<String> held = adapters.get(model);
        if (held == null) {
            return;
        }
        if (loads && held.add(adapter)) {
            checkFit(0, model + "/" + adapter);
        } else if (!loads) {
            held.remove(adapter);
        }
    }

    private void checkFit(double moreMegabytes, String wanted) {
        double models = adapters.keySet().stream().mapToDouble(this::weight).sum();
        double ofAdapters = adapters.entrySet().stream()
                .mapToDouble(entry -> entry.getValue().size()
                        * definition.models().get(entry.getKey()).adapterMegabytes())
                .sum();
        int places = adapters.values().stream().mapToInt(Set::size).sum();
        boolean fits = models + ofAdapters + moreMegabytes <= definition.weightMegabytes()
                && places <= definition.adapterPlaces();
        if (!fits) {
            checker.reportViolation(
                    FleetInvariant.ENGINE_FITS, wanted + " at " + description.id() + " beside " + adapters);
        }
    }

    private double weight(String model) {
        return definition.models().get(model).weightMegabytes();
    }

    private void recordReport() {
        Map<String, Set<String>> held = new HashMap<>();
        adapters.forEach((model, names) -> held.put(model, Set.copyOf(names)));
        TargetReport report = new TargetReport(
                Set.copyOf(adapters.keySet()),
                Map.copyOf(held),
                !loading.isEmpty(),
                orderCount,
                description.startedAtMillis());
        reports.add(queue.nowMillis(), report);
    }

    private void describe(String id, boolean leaving) {
        description = new TargetDescription(
                id,
                description.service(),
                description.address(),
                description.zone(),
                description.slots(),
                leaving,
                Set.of(),
                Set.of(),
                incarnation,
                orderCount);
    }
}
