package org.jackdawbeam.logic.fleet;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The workspaces whose quota this entry owns.
 *
 * @param sinceMillis start of the ownership by workspace
 * @param checkedAtMillis when the ownership was last checked
 */
public record QuotaOwnership(PMap<String, Long> sinceMillis, long checkedAtMillis) {

    static QuotaOwnership none() {
        return new QuotaOwnership(HashTreePMap.empty(), 0);
    }
}
