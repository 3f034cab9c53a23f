package org.jackdawbeam.logic.fleet;

/**
 * A slot of an engine that an adapter occupies.
 *
 * @param usableAtMillis when requests can use the adapter
 * @param lastUsedAtMillis when a request last used it
 */
public record AdapterSlot(long usableAtMillis, long lastUsedAtMillis) {

    /** Returns the slot of an adapter that is being unloaded, which requests cannot use any more. */
    AdapterSlot unloading() {
        return new AdapterSlot(Long.MAX_VALUE, lastUsedAtMillis);
    }

    AdapterSlot usedAt(long nowMillis) {
        return new AdapterSlot(usableAtMillis, Math.max(lastUsedAtMillis, nowMillis));
    }
}
