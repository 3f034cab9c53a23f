package org.jackdawbeam.logic.fleet;

import org.jackdawbeam.logic.quarantine.QuarantineEntry;

/**
 * What the store is known to hold of a quarantined group.
 *
 * @param trials number of trials in the latest record
 * @param released whether the record has been removed
 * @param confirmed whether the store has accepted the record
 * @param retryAtMillis when to write again if it has not
 */
public record StoredQuarantine(int trials, boolean released, boolean confirmed, long retryAtMillis) {

    boolean matches(QuarantineEntry entry) {
        return trials == entry.trials() && released == entry.released();
    }
}
