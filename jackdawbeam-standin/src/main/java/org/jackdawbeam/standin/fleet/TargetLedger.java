package org.jackdawbeam.standin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** What the targets have executed, as the judge of promises. Thread-safe. */
public final class TargetLedger {
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> rejections = new ConcurrentHashMap<>();
    private final Map<String, Long> leavingSinceMillis = new ConcurrentHashMap<>();
    private final Map<Long, String> holdersByToken = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Execution> history = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> reusedFencingTokens = new ConcurrentLinkedQueue<>();
    private final AtomicReference<String> receivedKey = new AtomicReference<>("");

    /**
     * A request that began to run.
     *
     * @param atMillis time of day
     * @param leavingSinceMillis when the target said that it leaves; zero if it did not
     */
    public record Execution(
            String requestId, String target, String workspace, long atMillis, long leavingSinceMillis) {}

    /** Notes that a request began to run. */
    public void recordExecution(String requestId, String target, String workspace) {
        executions.computeIfAbsent(requestId, id -> new AtomicInteger()).incrementAndGet();
        history.add(new Execution(
                requestId, target, workspace, System.currentTimeMillis(), leavingSinceMillis.getOrDefault(target, 0L)));
    }

    void recordKey(String key) {
        receivedKey.set(key);
    }

    void recordLeaving(String target) {
        leavingSinceMillis.putIfAbsent(target, System.currentTimeMillis());
    }

    void recordRejection(String target) {
        rejections.computeIfAbsent(target, id -> new AtomicInteger()).incrementAndGet();
    }

    /** Returns how many requests a target has turned away. */
    public int rejections(String target) {
        AtomicInteger count = rejections.get(target);
        return count == null ? 0 : count.get();
    }

    /** Notes an accepted order. */
    public void recordOrder(String target, long fencingToken, String holder) {
        String first = holdersByToken.putIfAbsent(fencingToken, holder);
        if (first != null && !first.equals(holder)) {
            reusedFencingTokens.add("token " + fencingToken + " of " + first + " used by " + holder + " at " + target);
        }
    }

    /** Returns how often a request was executed. */
    public int executions(String requestId) {
        AtomicInteger count = executions.get(requestId);
        return count == null ? 0 : count.get();
    }

    /** Returns all requests that were executed, with how often. */
    public Map<String, Integer> executionCounts() {
        Map<String, Integer> copy = new HashMap<>();
        executions.forEach((id, count) -> copy.put(id, count.get()));
        return copy;
    }

    /** Returns everything that began to run, in order. */
    public List<Execution> history() {
        return new ArrayList<>(history);
    }

    /** Returns fencing tokens that two holders gave orders with. */
    public List<String> reusedFencingTokens() {
        return new ArrayList<>(reusedFencingTokens);
    }

    /** Returns a caller's key that a target has seen; empty if none has. */
    public String receivedKey() {
        return receivedKey.get();
    }
}
