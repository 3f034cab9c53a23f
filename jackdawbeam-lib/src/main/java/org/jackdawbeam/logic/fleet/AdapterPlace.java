package org.jackdawbeam.logic.fleet;

/**
 * A place of an engine that an adapter takes.
 *
 * @param usableAtMillis when the adapter has arrived at the engine
 * @param wantedAtMillis when a request last needed it
 */
public record AdapterPlace(long usableAtMillis, long wantedAtMillis) {

    /** Returns the place of an adapter that is about to be dropped. */
    AdapterPlace leaving() {
        return new AdapterPlace(Long.MAX_VALUE, wantedAtMillis);
    }

    AdapterPlace wanted(long nowMillis) {
        return new AdapterPlace(usableAtMillis, Math.max(wantedAtMillis, nowMillis));
    }
}
