package org.jackdawbeam.logic.fleet;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The workspaces that this entry counts.
 *
 * @param sinceMillis by workspace, since when this entry has been the one that counts
 * @param checkedAtMillis when that was last looked at
 */
public record QuotaOwnership(PMap<String, Long> sinceMillis, long checkedAtMillis) {

    static QuotaOwnership none() {
        return new QuotaOwnership(HashTreePMap.empty(), 0);
    }
}
