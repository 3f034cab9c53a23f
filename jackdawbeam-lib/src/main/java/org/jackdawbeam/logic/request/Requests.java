package org.jackdawbeam.logic.request;

import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * All requests in flight.
 *
 * @param byId requests by id
 * @param pools waiting requests by pool
 * @param budget retry budget
 * @param pendingClaims claims that this process has appended and not yet read back, by record id
 */
public record Requests(
        PMap<Long, Request> byId,
        PMap<String, Pool> pools,
        RetryBudget budget,
        PMap<String, PendingClaim> pendingClaims) {

    /** A claim appended for the given request at the given time. */
    public record PendingClaim(long requestId, long madeAtMillis) {}

    /** Returns an empty collection with a full retry budget. */
    public static Requests none() {
        return new Requests(HashTreePMap.empty(), HashTreePMap.empty(), RetryBudget.full(), HashTreePMap.empty());
    }

    /** Returns the request with the given id. */
    public Optional<Request> find(long requestId) {
        return Optional.ofNullable(byId.get(requestId));
    }

    /** Returns the pool with the given name. */
    public Pool pool(String name) {
        Pool pool = pools.get(name);
        return pool == null ? Pool.empty() : pool;
    }

    /** Adds or replaces a request. */
    public Requests with(Request request) {
        return new Requests(byId.plus(request.id(), request), pools, budget, pendingClaims);
    }

    /** Removes a request, including from its queue. */
    public Requests without(Request request) {
        Requests rest = new Requests(byId.minus(request.id()), pools, budget, pendingClaims);
        Pool pool = pool(request.work().pool());
        return rest.withPool(request.work().pool(), pool.withQueue(pool.queue().remove(request.id())));
    }

    /** Replaces a pool. */
    public Requests withPool(String name, Pool pool) {
        return new Requests(byId, pools.plus(name, pool), budget, pendingClaims);
    }

    /** Replaces the retry budget. */
    public Requests withBudget(RetryBudget newBudget) {
        return new Requests(byId, pools, newBudget, pendingClaims);
    }

    /** Adds a claim that has not been read back yet. */
    public Requests withPendingClaim(String claimId, PendingClaim claim) {
        return new Requests(byId, pools, budget, pendingClaims.plus(claimId, claim));
    }

    /** Removes a claim that was read back. */
    public Requests withoutPendingClaim(String claimId) {
        return new Requests(byId, pools, budget, pendingClaims.minus(claimId));
    }
}
