package org.jackdawbeam.logic.quarantine;

import java.util.List;
import java.util.Set;

/**
 * A request that waited for its answer when its engine was lost.
 *
 * @param parts ids of the shared parts of its prompt
 */
record SuspectRequest(long sentAtMillis, List<Long> parts) {

    boolean containsAll(Set<Long> group) {
        return parts.containsAll(group);
    }
}
