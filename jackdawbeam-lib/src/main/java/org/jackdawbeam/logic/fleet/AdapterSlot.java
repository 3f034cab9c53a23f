package org.jackdawbeam.logic.fleet;

/**
 * A slot of an engine that an adapter occupies.
 *
 * @param usableAtMillis when requests can use the adapter, unless it is being unloaded
 * @param lastUsedAtMillis when a request last used it
 * @param unloading whether it receives no more requests because it is about to be unloaded
 */
public record AdapterSlot(long usableAtMillis, long lastUsedAtMillis, boolean unloading) {

    boolean isUsable(long nowMillis) {
        return !unloading && usableAtMillis <= nowMillis;
    }

    AdapterSlot withUnloading(boolean ordered) {
        return new AdapterSlot(usableAtMillis, lastUsedAtMillis, ordered);
    }

    AdapterSlot usedAt(long nowMillis) {
        return new AdapterSlot(usableAtMillis, Math.max(lastUsedAtMillis, nowMillis), unloading);
    }
}
