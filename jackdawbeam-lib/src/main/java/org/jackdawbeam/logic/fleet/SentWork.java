package org.jackdawbeam.logic.fleet;

import java.util.List;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;

/**
 * The load information last sent to the other entries.
 *
 * @param digestAtMillis when the latest heartbeat was sent
 * @param noticeAtMillis when the latest work notice or heartbeat was sent
 * @param work the load that was sent
 */
public record SentWork(long digestAtMillis, long noticeAtMillis, List<TargetWork> work) {

    static SentWork none() {
        return new SentWork(0, 0, List.of());
    }

    /** Returns the state in which the next heartbeat is due at once. */
    SentWork withDigestDue() {
        return new SentWork(0, noticeAtMillis, work);
    }
}
