package org.jackdawbeam.logic.fleet;

/**
 * An adapter that requests wait for.
 *
 * @param target engine to load it on, if that has room
 * @param firstAskedAtMillis when it was first asked for since it was last loaded
 * @param lastAskedAtMillis when it was last asked for
 */
record AdapterWish(String service, AdapterKey key, String target, long firstAskedAtMillis, long lastAskedAtMillis) {
    private static final long REQUEST_EXPIRY_MILLIS = 1_500; // entries repeat pending requests sooner
    private static final long CLAIM_MILLIS = 10_000; // longer than callers pause before they ask again

    /** Identifies the wished adapter among those of all services. */
    record Id(String service, AdapterKey key) {}

    Id id() {
        return new Id(service, key);
    }

    AdapterWish askedAgain(long nowMillis) {
        return new AdapterWish(service, key, target, firstAskedAtMillis, nowMillis);
    }

    AdapterWish withTarget(String other) {
        return new AdapterWish(service, key, other, firstAskedAtMillis, lastAskedAtMillis);
    }

    /** Returns whether a request is waiting for the adapter now. */
    boolean isPending(long nowMillis) {
        return nowMillis - lastAskedAtMillis <= REQUEST_EXPIRY_MILLIS;
    }

    /** Returns whether the place in the queue is given up. */
    boolean isOver(long nowMillis) {
        return nowMillis - lastAskedAtMillis > CLAIM_MILLIS;
    }
}
