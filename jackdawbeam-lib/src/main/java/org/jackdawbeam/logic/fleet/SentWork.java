package org.jackdawbeam.logic.fleet;

import java.util.List;
import org.jackdawbeam.model.fleet.FleetMessage.TargetWork;

/**
 * What the other entries were last told.
 *
 * @param digestAtMillis when the latest heartbeat was sent
 * @param noticeAtMillis when the latest news of work was sent
 * @param work the work that was told
 */
public record SentWork(long digestAtMillis, long noticeAtMillis, List<TargetWork> work) {

    static SentWork none() {
        return new SentWork(0, 0, List.of());
    }
}
