package org.jackdawbeam.net.caller;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Requests in flight, by id. Thread-safe. */
public final class OpenRequests {
    private final Map<Long, OpenRequest> byId = new ConcurrentHashMap<>();

    /** Adds a request. */
    public void add(OpenRequest request) {
        byId.put(request.id(), request);
    }

    /** Returns the request with the given id, if it is in flight. */
    public Optional<OpenRequest> find(long id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Removes and returns the request with the given id, if it is in flight. */
    public Optional<OpenRequest> remove(long id) {
        return Optional.ofNullable(byId.remove(id));
    }
}
