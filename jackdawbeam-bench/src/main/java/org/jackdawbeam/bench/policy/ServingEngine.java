package org.jackdawbeam.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jackdawbeam.bench.fleet.ReportHistory;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.model.fleet.EngineOrder;
import org.jackdawbeam.model.fleet.ModelDefinition;
import org.jackdawbeam.model.fleet.OrderResponse;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.log.OrderAction;
import org.jackdawbeam.model.request.AttemptId;

/** A model engine with continuous batching, a prefix cache, copies of weights, and one order at a time. */
final class ServingEngine {
    private static final double REPORT_AGE_MILLIS = 200;
    private static final double ADAPTER_MILLIS = 9.7;
    private static final int QUEUE = 134;

    private final EventQueue queue;
    private final PolicySite site;
    private final String baseId;
    private final Map<String, Set<String>> held = new HashMap<>();
    private final WeightCopies copies;
    private final PromptCache cache;
    private final List<ServingRun> waiting = new ArrayList<>();
    private final List<ServingRun> running = new ArrayList<>();
    private final ReportHistory reports = new ReportHistory(REPORT_AGE_MILLIS);
    private String changing = "";
    private boolean unloading;
    private long orderCount;
    private long starts;
    private boolean up = true;
    private boolean stepping;

    ServingEngine(EventQueue queue, PolicySite site, String id, Set<String> models, Set<String> onDisk) {
        this.queue = queue;
        this.site = site;
        this.baseId = id;
        this.cache = new PromptCache(site.definition().cacheTokens());
        this.copies = new WeightCopies(site.definition(), site.speed());
        models.forEach(model -> held.put(model, new HashSet<>()));
        onDisk.forEach(copies::loaded);
        models.stream().sorted().forEach(copies::loaded);
    }

    String id() {
        return baseId + "#" + starts;
    }

    boolean isUp() {
        return up;
    }

    int models() {
        return held.size();
    }

    TargetDescription description() {
        return new TargetDescription(
                id(),
                PolicySite.SERVICE,
                baseId + ":1",
                "zone-1",
                site.definition().slots(),
                false,
                Set.copyOf(held.keySet()),
                copies.atHand(),
                starts,
                orderCount);
    }

    /** Ends the process; returns the runs that it breaks. */
    List<ServingRun> crash() {
        up = false;
        List<ServingRun> broken = new ArrayList<>(running);
        broken.addAll(waiting);
        running.clear();
        waiting.clear();
        held.clear();
        reports.clear();
        cache.clear();
        changing = "";
        unloading = false;
        orderCount = 0;
        starts++;
        return broken;
    }

    void start() {
        up = true;
    }

    /** Returns whether a request for the model can begin now; one whose model is being dropped cannot. */
    boolean holds(ServingRun run) {
        boolean dropped = unloading && changing.equals(run.model());
        Set<String> adapters = held.get(run.model());
        return up
                && !dropped
                && adapters != null
                && run.adapter().map(adapters::contains).orElse(true);
    }

    boolean isFull() {
        return waiting.size() >= QUEUE;
    }

    void accept(ServingRun run) {
        waiting.add(run);
        run.toRead(cache.unread(run.prefixKeys(), run.partTokens()));
        step();
    }

    void cancel(AttemptId attempt) {
        waiting.removeIf(run -> run.attempt().equals(attempt));
        running.removeIf(run -> run.attempt().equals(attempt));
    }

    private void step() {
        if (stepping || !up) {
            return;
        }
        waiting.sort(Comparator.comparingInt(ServingRun::priority));
        while (running.size() < site.definition().slots() && !waiting.isEmpty()) {
            running.add(waiting.removeFirst());
        }
        if (running.isEmpty()) {
            return;
        }
        running.sort(Comparator.comparingInt(ServingRun::priority));
        double budget = site.speed().chunkTokens();
        double read = 0;
        List<ServingRun> decoding = new ArrayList<>();
        for (ServingRun run : running) {
            if (run.unread() == 0) {
                decoding.add(run);
                continue;
            }
            double part = Math.min(budget - read, run.unread());
            read += part;
            run.read(part);
        }
        double millis = site.speed().stepMillis()
                + site.speed().stepMillisPerRequest() * decoding.size()
                + read / site.speed().tokensPerMilli();
        long startedIn = starts;
        stepping = true;
        queue.after(millis, () -> {
            stepping = false;
            if (startedIn == starts) {
                endStep(decoding);
            }
            step();
        });
    }

    private void endStep(List<ServingRun> decoding) {
        for (ServingRun run : List.copyOf(running)) {
            boolean first = run.unread() == 0 && !run.hasBegun();
            if (first) {
                cache.remember(run.prefixKeys(), run.partTokens());
                run.begin();
            }
            if (decoding.contains(run) && run.produce()) {
                running.remove(run);
                run.end();
            }
        }
        if (unloading && running.stream().noneMatch(run -> run.model().equals(changing))) {
            drop();
        }
    }

    OrderResponse order(EngineOrder order) {
        if (!up || !order.target().equals(id())) {
            return OrderResponse.REJECTED;
        }
        boolean ofModel = order.adapter().isEmpty();
        if (order.expectedCount() != orderCount || !changing.isEmpty()) {
            return OrderResponse.CONFLICT;
        }
        remember();
        orderCount++;
        if (ofModel) {
            changeModel(order);
        } else {
            changeAdapter(order);
        }
        remember();
        return OrderResponse.ACCEPTED;
    }

    private void changeModel(EngineOrder order) {
        changing = order.model();
        if (order.action() == OrderAction.UNLOAD_MODEL) {
            unloading = true;
            if (running.stream().noneMatch(run -> run.model().equals(changing))) {
                drop();
            }
            return;
        }
        long startedIn = starts;
        ModelDefinition model = site.definition().models().get(order.model());
        queue.after(copies.loadMillis(model), () -> {
            if (startedIn == starts) {
                remember();
                held.put(order.model(), new HashSet<>());
                copies.loaded(order.model());
                changing = "";
                remember();
            }
        });
    }

    private void drop() {
        remember();
        held.remove(changing);
        cache.drop(changing);
        changing = "";
        unloading = false;
        remember();
    }

    private void changeAdapter(EngineOrder order) {
        Set<String> adapters = held.get(order.model());
        if (adapters == null) {
            return;
        }
        if (order.action() == OrderAction.UNLOAD_ADAPTER) {
            adapters.remove(order.adapter().orElseThrow());
            return;
        }
        queue.after(ADAPTER_MILLIS, () -> adapters.add(order.adapter().orElseThrow()));
    }

    /** Returns the state of some hundred milliseconds ago. */
    TargetReport report() {
        remember();
        return reports.current(queue.nowMillis());
    }

    private void remember() {
        Map<String, Set<String>> adapters = new LinkedHashMap<>();
        held.forEach((model, names) -> adapters.put(model, Set.copyOf(names)));
        reports.add(
                queue.nowMillis(),
                new TargetReport(
                        Set.copyOf(held.keySet()), Map.copyOf(adapters), !changing.isEmpty(), orderCount, starts));
    }
}
