package org.jackdawbeam.logic.fleet;

import java.util.List;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The load information last sent to the other entries.
 *
 * @param digestAtMillis when the latest heartbeat was sent
 * @param noticeAtMillis when the latest work notice or heartbeat was sent
 * @param work the load that was sent
 * @param targets the targets when the load was last compared with what was sent
 */
public record SentWork(
        long digestAtMillis, long noticeAtMillis, List<TargetWork> work, PMap<String, FleetTarget> targets) {

    static SentWork none() {
        return new SentWork(0, 0, List.of(), HashTreePMap.empty());
    }

    /** Returns whether the load may have changed since it was last compared with what was sent. */
    boolean mayDiffer(PMap<String, FleetTarget> current) {
        return targets != current;
    }

    /** Returns the state after the load of the targets has been found to be as it was sent. */
    SentWork withSame(PMap<String, FleetTarget> current) {
        return new SentWork(digestAtMillis, noticeAtMillis, work, current);
    }

    /** Returns the state in which the next heartbeat is due at once. */
    SentWork withDigestDue() {
        return new SentWork(0, noticeAtMillis, work, targets);
    }
}
