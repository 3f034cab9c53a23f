package org.jackdawbeam.net.operator;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jackdawbeam.model.operator.OperatorAnswer;

/** Operator requests that wait for the reducer's response. Thread-safe. */
public final class PendingOperatorRequests {
    private final Map<Long, CompletableFuture<OperatorAnswer>> waiting = new ConcurrentHashMap<>();
    private final AtomicLong nextId = new AtomicLong(1);

    /** Registers a request and returns its id. The request is removed when its future completes. */
    public long register(CompletableFuture<OperatorAnswer> answer) {
        long id = nextId.getAndIncrement();
        waiting.put(id, answer);
        answer.whenComplete((result, failure) -> waiting.remove(id));
        return id;
    }

    /** Completes a request if it is still pending. */
    public void complete(long id, OperatorAnswer answer) {
        CompletableFuture<OperatorAnswer> request = waiting.get(id);
        if (request != null) {
            request.complete(answer);
        }
    }
}
