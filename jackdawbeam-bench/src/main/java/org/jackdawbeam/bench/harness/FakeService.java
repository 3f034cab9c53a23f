package org.jackdawbeam.bench.harness;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Emulates a plain service and counts its executions. */
public final class FakeService {
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private final Set<String> executedRequests = new HashSet<>();
    private int runs;

    /** Records the execution of a call; an empty idempotency key means that there is none. */
    public void execute(String request, String idempotencyKey) {
        runs++;
        executedRequests.add(request);
        if (!idempotencyKey.isEmpty()) {
            runsByKey.merge(idempotencyKey, 1, Integer::sum);
        }
    }

    /** Returns the number of executions by idempotency key. */
    public Map<String, Integer> runsByKey() {
        return Map.copyOf(runsByKey);
    }

    /** Returns whether the request was executed at least once. */
    public boolean executed(String request) {
        return executedRequests.contains(request);
    }

    /** Returns the number of executions. */
    public int runs() {
        return runs;
    }
}
