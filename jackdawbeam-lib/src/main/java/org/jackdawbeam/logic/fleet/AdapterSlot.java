package org.jackdawbeam.logic.fleet;

/**
 * A place of an engine that an adapter takes.
 *
 * @param usableAtMillis when the adapter has arrived at the engine
 * @param lastUsedAtMillis when a request last needed it
 */
public record AdapterSlot(long usableAtMillis, long lastUsedAtMillis) {

    /** Returns the place of an adapter that is about to be dropped. */
    AdapterSlot unloading() {
        return new AdapterSlot(Long.MAX_VALUE, lastUsedAtMillis);
    }

    AdapterSlot usedAt(long nowMillis) {
        return new AdapterSlot(usableAtMillis, Math.max(lastUsedAtMillis, nowMillis));
    }
}
