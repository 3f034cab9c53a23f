package org.jackdawbeam.standin.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** What the targets have executed, as the judge of promises. Thread-safe. */
public final class TargetLedger {
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final AtomicReference<String> keySeen = new AtomicReference<>("");

    void executed(String requestId) {
        executions.computeIfAbsent(requestId, id -> new AtomicInteger()).incrementAndGet();
    }

    void sawKey(String key) {
        keySeen.set(key);
    }

    /** Returns how often a request was executed. */
    public int executions(String requestId) {
        AtomicInteger count = executions.get(requestId);
        return count == null ? 0 : count.get();
    }

    /** Returns all requests that were executed, with how often. */
    public Map<String, Integer> all() {
        Map<String, Integer> copy = new HashMap<>();
        executions.forEach((id, count) -> copy.put(id, count.get()));
        return copy;
    }

    /** Returns a caller's key that a target has seen; empty if none has. */
    public String keySeen() {
        return keySeen.get();
    }
}
