package org.jackdawbeam.standin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** Records requests and orders that the targets execute, so that tests can check the guarantees. Thread-safe. */
public final class TargetLedger {
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final Map<String, Set<Answer>> answers = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> rejections = new ConcurrentHashMap<>();
    private final Map<String, Long> leavingSinceMillis = new ConcurrentHashMap<>();
    private final Map<Long, String> holdersByToken = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Execution> history = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> reusedFencingTokens = new ConcurrentLinkedQueue<>();
    private final AtomicReference<String> receivedKey = new AtomicReference<>("");

    private record Answer(int status, String seal) {}

    /**
     * The start of a request on a target.
     *
     * @param atMillis start time in epoch milliseconds
     * @param leavingSinceMillis time at which the target announced that it is leaving; zero if it has not
     */
    public record Execution(
            String requestId, String target, String workspace, long atMillis, long leavingSinceMillis) {}

    /** Records the start of a request. */
    public void recordExecution(String requestId, String target, String workspace) {
        executions.computeIfAbsent(requestId, id -> new AtomicInteger()).incrementAndGet();
        history.add(new Execution(
                requestId, target, workspace, System.currentTimeMillis(), leavingSinceMillis.getOrDefault(target, 0L)));
    }

    /** Records the first answer of a target to a request. */
    public void recordAnswer(String requestId, int status, String seal) {
        answers.computeIfAbsent(requestId, id -> ConcurrentHashMap.newKeySet()).add(new Answer(status, seal));
    }

    /** Returns whether a target's first answer to the request had this status and seal. */
    public boolean hasAnswered(String requestId, int status, String seal) {
        return answers.getOrDefault(requestId, Set.of()).contains(new Answer(status, seal));
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

    /** Returns the number of requests that a target has rejected. */
    public int rejections(String target) {
        AtomicInteger count = rejections.get(target);
        return count == null ? 0 : count.get();
    }

    /** Records an accepted order. */
    public void recordOrder(String target, long fencingToken, String holder) {
        String first = holdersByToken.putIfAbsent(fencingToken, holder);
        if (first != null && !first.equals(holder)) {
            reusedFencingTokens.add("token " + fencingToken + " of " + first + " used by " + holder + " at " + target);
        }
    }

    /** Returns the number of executions of a request. */
    public int executions(String requestId) {
        AtomicInteger count = executions.get(requestId);
        return count == null ? 0 : count.get();
    }

    /** Returns the number of executions of each request. */
    public Map<String, Integer> executionCounts() {
        Map<String, Integer> copy = new HashMap<>();
        executions.forEach((id, count) -> copy.put(id, count.get()));
        return copy;
    }

    /** Returns all executions in the order of their start. */
    public List<Execution> history() {
        return new ArrayList<>(history);
    }

    /** Describes each order whose fencing token another holder had used before. */
    public List<String> reusedFencingTokens() {
        return new ArrayList<>(reusedFencingTokens);
    }

    /** Returns the latest API key that a target received from a caller; empty if none did. */
    public String receivedKey() {
        return receivedKey.get();
    }
}
