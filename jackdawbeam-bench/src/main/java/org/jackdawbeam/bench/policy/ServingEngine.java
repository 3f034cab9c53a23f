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

/** Simulates a model engine with continuous batching, a prefix cache, cached weights, and one order at a time. */
final class ServingEngine {
    private static final double REPORT_AGE_MILLIS = 200;
    private static final double ADAPTER_MILLIS = 9.7;
    private static final int MAX_QUEUED = 134;
    private static final double PAIRS_PER_MILLION = 1e6;

    private final EventQueue queue;
    private final PolicySite site;
    private final String baseId;
    private final String zone;
    private final Map<String, Set<String>> adaptersByModel = new HashMap<>();
    private final WeightCache weightCache;
    private final PromptCache promptCache;
    private final List<ServingAttempt> waiting = new ArrayList<>();
    private final List<ServingAttempt> running = new ArrayList<>();
    private final ReportHistory reports = new ReportHistory(REPORT_AGE_MILLIS);
    private String changingModel = "";
    private boolean unloading;
    private long orderCount;
    private long incarnation;
    private boolean up = true;
    private boolean stepping;

    ServingEngine(EventQueue queue, PolicySite site, String id, String zone, Set<String> models, Set<String> onDisk) {
        this.queue = queue;
        this.site = site;
        this.baseId = id;
        this.zone = zone;
        this.promptCache = new PromptCache(site.definition().cacheTokens());
        this.weightCache = new WeightCache(site.definition(), site.speed());
        models.forEach(model -> adaptersByModel.put(model, new HashSet<>()));
        onDisk.forEach(weightCache::add);
        models.stream().sorted().forEach(weightCache::add);
    }

    String id() {
        return baseId + "#" + incarnation;
    }

    boolean isUp() {
        return up;
    }

    int models() {
        return adaptersByModel.size();
    }

    TargetDescription description() {
        return new TargetDescription(
                id(),
                PolicySite.SERVICE,
                baseId + ":1",
                zone,
                site.definition().slots(),
                false,
                Set.copyOf(adaptersByModel.keySet()),
                weightCache.cachedModels(),
                incarnation,
                orderCount);
    }

    /** Crashes the process and returns the attempts that it interrupts. */
    List<ServingAttempt> crash() {
        up = false;
        List<ServingAttempt> broken = new ArrayList<>(running);
        broken.addAll(waiting);
        running.clear();
        waiting.clear();
        adaptersByModel.clear();
        reports.clear();
        promptCache.clear();
        changingModel = "";
        unloading = false;
        orderCount = 0;
        incarnation++;
        return broken;
    }

    void start() {
        up = true;
    }

    /** Returns whether the model and adapter of an attempt are resident; a model that is being unloaded is not. */
    boolean canServe(ServingAttempt attempt) {
        boolean beingUnloaded = unloading && changingModel.equals(attempt.model());
        Set<String> adapters = adaptersByModel.get(attempt.model());
        return up
                && !beingUnloaded
                && adapters != null
                && attempt.adapter().map(adapters::contains).orElse(true);
    }

    boolean isFull() {
        return waiting.size() >= MAX_QUEUED;
    }

    void accept(ServingAttempt attempt) {
        waiting.add(attempt);
        attempt.setPrefillTokens(promptCache.uncachedTokens(attempt.prefixKeys(), attempt.partTokens()));
        step();
    }

    void cancel(AttemptId attempt) {
        waiting.removeIf(queued -> queued.attempt().equals(attempt));
        running.removeIf(queued -> queued.attempt().equals(attempt));
    }

    private void step() {
        if (stepping || !up) {
            return;
        }
        waiting.sort(Comparator.comparingInt(ServingAttempt::priority));
        while (running.size() < site.definition().slots() && !waiting.isEmpty()) {
            running.add(waiting.removeFirst());
        }
        if (running.isEmpty()) {
            return;
        }
        running.sort(Comparator.comparingInt(ServingAttempt::priority));
        double budget = site.speed().chunkTokens();
        double read = 0;
        double pairs = 0;
        List<ServingAttempt> decoding = new ArrayList<>();
        for (ServingAttempt attempt : running) {
            if (attempt.remainingPrefill() == 0) {
                decoding.add(attempt);
                continue;
            }
            double part = Math.min(budget - read, attempt.remainingPrefill());
            read += part;
            pairs += attempt.pairs(part);
            attempt.prefill(part);
        }
        double millis = site.speed().stepMillis()
                + site.speed().stepMillisPerRequest() * decoding.size()
                + read / site.speed().tokensPerMilli()
                + pairs / PAIRS_PER_MILLION * site.speed().attentionMillis();
        long startedIncarnation = incarnation;
        stepping = true;
        queue.after(millis, () -> {
            stepping = false;
            if (startedIncarnation == incarnation) {
                endStep(decoding);
            }
            step();
        });
    }

    private void endStep(List<ServingAttempt> decoding) {
        for (ServingAttempt attempt : List.copyOf(running)) {
            boolean first = attempt.remainingPrefill() == 0 && !attempt.hasFirstToken();
            if (first) {
                promptCache.add(attempt.prefixKeys(), attempt.partTokens());
                attempt.deliverFirstToken();
            }
            if (decoding.contains(attempt) && attempt.decodeToken()) {
                running.remove(attempt);
                attempt.end();
            }
        }
        if (unloading && running.stream().noneMatch(attempt -> attempt.model().equals(changingModel))) {
            finishUnload();
        }
    }

    OrderResponse order(EngineOrder order) {
        if (!up || !order.target().equals(id())) {
            return OrderResponse.REJECTED;
        }
        boolean ofModel = order.adapter().isEmpty();
        if (order.expectedCount() != orderCount || !changingModel.isEmpty()) {
            return OrderResponse.CONFLICT;
        }
        recordReport();
        orderCount++;
        if (ofModel) {
            changeModel(order);
        } else {
            changeAdapter(order);
        }
        recordReport();
        return OrderResponse.ACCEPTED;
    }

    private void changeModel(EngineOrder order) {
        changingModel = order.model();
        if (order.action() == OrderAction.UNLOAD_MODEL) {
            unloading = true;
            if (running.stream().noneMatch(attempt -> attempt.model().equals(changingModel))) {
                finishUnload();
            }
            return;
        }
        long startedIncarnation = incarnation;
        ModelDefinition model = site.definition().models().get(order.model());
        queue.after(weightCache.loadMillis(model), () -> {
            if (startedIncarnation == incarnation) {
                recordReport();
                adaptersByModel.put(order.model(), new HashSet<>());
                weightCache.add(order.model());
                changingModel = "";
                recordReport();
            }
        });
    }

    private void finishUnload() {
        recordReport();
        adaptersByModel.remove(changingModel);
        promptCache.removeModel(changingModel);
        changingModel = "";
        unloading = false;
        recordReport();
    }

    private void changeAdapter(EngineOrder order) {
        Set<String> adapters = adaptersByModel.get(order.model());
        if (adapters == null) {
            return;
        }
        if (order.action() == OrderAction.UNLOAD_ADAPTER) {
            adapters.remove(order.adapter().orElseThrow());
            return;
        }
        queue.after(ADAPTER_MILLIS, () -> adapters.add(order.adapter().orElseThrow()));
    }

    /** Returns a delayed report, as engines do not report their state instantly. */
    TargetReport report() {
        recordReport();
        return reports.current(queue.nowMillis());
    }

    private void recordReport() {
        Map<String, Set<String>> adapters = new LinkedHashMap<>();
        adaptersByModel.forEach((model, names) -> adapters.put(model, Set.copyOf(names)));
        reports.add(
                queue.nowMillis(),
                new TargetReport(
                        Set.copyOf(adaptersByModel.keySet()),
                        Map.copyOf(adapters),
                        !changingModel.isEmpty(),
                        orderCount,
                        incarnation));
    }
}
