package org.jackdawbeam.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Simulates continuous batching. Each step computes a chunk of the pending prompts and one token for each request whose
 * prompt is complete. Its duration grows with the batch. Not thread-safe; driven by a timer or an event queue.
 */
public final class BatchSimulation {
    private static final Comparator<QueuedRequest> URGENCY = Comparator.comparingInt(
                    (QueuedRequest queued) -> queued.request.priority())
            .thenComparingLong(queued -> queued.number);

    private final EngineProfile profile;
    private final List<QueuedRequest> queue = new ArrayList<>();
    private final List<QueuedRequest> batch = new ArrayList<>();
    private final LinkedHashMap<Long, Boolean> prefixCache = new LinkedHashMap<>(16, 0.75f, true);
    private final Set<Long> cacheAdded = new HashSet<>();
    private final Set<Long> cacheDropped = new HashSet<>();
    private long nextNumber;

    private static final class QueuedRequest {
        private final BatchRequest request;
        private final long number;
        private double prefillLeft;
        private int generated;

        QueuedRequest(BatchRequest request, long number) {
            this.request = request;
            this.number = number;
        }
    }

    /**
     * Result of a step.
     *
     * @param millis duration of the step
     * @param tokens ids of the requests for which a token was generated
     * @param finished ids of the requests whose last token was generated
     */
    public record Step(double millis, List<Long> tokens, List<Long> finished) {}

    public BatchSimulation(EngineProfile profile) {
        this.profile = profile;
    }

    /** Adds a request to the queue. */
    public void add(BatchRequest request) {
        queue.add(new QueuedRequest(request, nextNumber++));
        queue.sort(URGENCY);
    }

    /** Removes a request from the queue and the batch. */
    public void cancel(long id) {
        queue.removeIf(queued -> queued.request.id() == id);
        batch.removeIf(queued -> queued.request.id() == id);
    }

    /** Returns whether no request is queued or running. */
    public boolean isIdle() {
        return queue.isEmpty() && batch.isEmpty();
    }

    /** Returns the number of requests in the batch. */
    public int running() {
        return batch.size();
    }

    /** Returns the number of queued requests. */
    public int queued() {
        return queue.size();
    }

    /** Returns the number of uncached prompt tokens that are still to be computed. */
    public long queuedTokens() {
        double waiting = queue.stream().mapToDouble(this::uncachedTokens).sum();
        double running =
                batch.stream().mapToDouble(queued -> queued.prefillLeft).sum();
        return Math.round(waiting + running);
    }

    /** Returns whether a request for the model is queued or running. */
    public boolean uses(String model) {
        return queue.stream().anyMatch(queued -> queued.request.model().equals(model))
                || batch.stream().anyMatch(queued -> queued.request.model().equals(model));
    }

    /** Returns the prefixes added to the cache since the last call, and clears the list. */
    public List<Long> takeCacheAdded() {
        List<Long> added = List.copyOf(cacheAdded);
        cacheAdded.clear();
        return added;
    }

    /** Returns the prefixes evicted from the cache since the last call, and clears the list. */
    public List<Long> takeCacheDropped() {
        List<Long> dropped = List.copyOf(cacheDropped);
        cacheDropped.clear();
        return dropped;
    }

    /** Executes one step. */
    public Step step() {
        admit();
        double prefill = computePrompts();
        List<Long> tokens = new ArrayList<>();
        List<Long> finished = new ArrayList<>();
        for (Iterator<QueuedRequest> iterator = batch.iterator(); iterator.hasNext(); ) {
            QueuedRequest queued = iterator.next();
            if (queued.prefillLeft > 0) {
                continue;
            }
            queued.generated++;
            tokens.add(queued.request.id());
            if (queued.generated >= queued.request.tokens()) {
                finished.add(queued.request.id());
                iterator.remove();
            }
        }
        double millis = profile.stepBaseMillis()
                + profile.stepRequestMillis() * (batch.size() + finished.size())
                + profile.prefillTokenMillis() * prefill;
        return new Step(millis, tokens, finished);
    }

    private void admit() {
        long used =
                batch.stream().mapToLong(BatchSimulation::requiredCacheTokens).sum();
        while (!queue.isEmpty() && batch.size() < profile.maximumBatch()) {
            QueuedRequest queued = queue.getFirst();
            long required = requiredCacheTokens(queued);
            boolean fits = batch.isEmpty() || used + required <= profile.cacheTokens();
            if (!fits) {
                return;
            }
            queue.removeFirst();
            queued.prefillLeft = uncachedTokens(queued);
            used += required;
            batch.add(queued);
        }
    }

    private double computePrompts() {
        double budget = profile.prefillChunkTokens();
        double computed = 0;
        for (QueuedRequest queued : batch) {
            boolean waiting = queued.prefillLeft > 0;
            if (!waiting || budget <= 0) {
                continue;
            }
            double part = Math.min(budget, queued.prefillLeft);
            queued.prefillLeft -= part;
            budget -= part;
            computed += part;
            if (queued.prefillLeft <= 0) {
                cachePrefixes(queued.request.prefixHashes());
            }
        }
        return computed;
    }

    private double uncachedTokens(QueuedRequest queued) {
        List<Long> hashes = queued.request.prefixHashes();
        int cached = 0;
        while (cached < hashes.size() && prefixCache.containsKey(hashes.get(cached))) {
            cached++;
        }
        double part = hashes.isEmpty() ? 0 : (double) cached / hashes.size();
        return Math.max(1, queued.request.promptTokens() * (1 - part));
    }

    private void cachePrefixes(List<Long> hashes) {
        for (Long hash : hashes) {
            boolean isNew = prefixCache.put(hash, true) == null;
            if (isNew) {
                cacheAdded.add(hash);
                cacheDropped.remove(hash);
            }
        }
        Iterator<Map.Entry<Long, Boolean>> oldest = prefixCache.entrySet().iterator();
        while (prefixCache.size() > profile.prefixBlocks() && oldest.hasNext()) {
            Long dropped = oldest.next().getKey();
            oldest.remove();
            cacheDropped.add(dropped);
            cacheAdded.remove(dropped);
        }
    }

    private static long requiredCacheTokens(QueuedRequest queued) {
        return (long) queued.request.promptTokens() + queued.request.tokens();
    }
}
