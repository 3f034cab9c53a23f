package org.jackdawbeam.logic.fleet;

/** Time limits of the fleet that do not depend on the deployment. All in milliseconds. */
final class FleetTimings {
    /** How long the store may hold a read of the configuration; keys are checked against reads at most this old. */
    static final long CONFIGURATION_WAIT = 1_400;
    /** As for the configuration; the removal of a target must be seen well within its drain time of two seconds. */
    static final long TARGETS_WAIT = 1_400;
    /** Pause between reads of the target list, so that many changes share one call. */
    static final long TARGETS_READ_INTERVAL = 900;
    /** Members change rarely; a changed member is heard of through its heartbeats too. */
    static final long MEMBERS_WAIT = 8_000;
    /** First pause after a failed call to the store; doubles up to {@link #MAXIMUM_RETRY_PAUSE}. */
    static final long FIRST_RETRY_PAUSE = 100;

    static final long MAXIMUM_RETRY_PAUSE = 400;
    /** Part of the time limit on withdrawn keys that is kept for a request on its way to a target. */
    static final long REVOKE_MARGIN = 600;
    /** Entries of targets that lapsed during an outage are back within two seconds of its end. */
    static final long EXPIRY_GRACE = 1_900;
    /** How long after a failed read a removal may be due to the outage. */
    static final long OUTAGE_WINDOW = 3_000;
    /** Time between heartbeats with up to {@link #MAXIMUM_MESH_MEMBERS} members. */
    static final long HEARTBEAT_INTERVAL = 250;
    /** Time between news of work; an engine reads half a prompt in that time. */
    static final long WORK_NOTICE_INTERVAL = 50;
    /** Up to this many members each tells all others; beyond, messages would take too much of a small host. */
    static final int MAXIMUM_MESH_MEMBERS = 16;
    /** Time between the messages of a fleet that reports to hubs. */
    static final long GROUP_HEARTBEAT_INTERVAL = 300;
    /** How long the store may hold a read whose answer is passed on; how long others serve without it depends on it. */
    static final long READER_CONFIGURATION_WAIT = 500;
    /** Age of the latest read after which an entry asks the store itself although it has a hub. */
    static final long DIRECT_READ_AGE = 2_500;
    /** How long a silent hub is passed over. */
    static final long HUB_EXCLUSION = 5_000;
    /** Heartbeats that may be lost before a peer counts as gone. */
    static final int HEARTBEATS_MISSED = 4;
    /** Time for another entry to answer about units; far above a round trip, far below an objective. */
    static final long QUOTA_ANSWER_TIMEOUT = 150;
    /** Entries asked for units before the request is refused. */
    static final int MAXIMUM_QUOTA_ROUNDS = 3;

    private FleetTimings() {}

    static long heartbeatMillis(int members) {
        return isFullMesh(members) ? HEARTBEAT_INTERVAL : GROUP_HEARTBEAT_INTERVAL;
    }

    static boolean isFullMesh(int members) {
        return members <= MAXIMUM_MESH_MEMBERS;
    }

    static long peerTimeoutMillis(int members) {
        return HEARTBEATS_MISSED * heartbeatMillis(members);
    }

    static long retryPauseMillis(int failures) {
        return Math.min(MAXIMUM_RETRY_PAUSE, FIRST_RETRY_PAUSE << Math.min(failures, 4));
    }
}
