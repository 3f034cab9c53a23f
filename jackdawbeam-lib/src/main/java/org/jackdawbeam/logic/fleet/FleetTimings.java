package org.jackdawbeam.logic.fleet;

/** Timeouts and intervals of the fleet that do not depend on the deployment, in milliseconds. */
final class FleetTimings {
    /** Long-poll timeout of configuration reads; keys are checked against reads at most this old. */
    static final long CONFIGURATION_WAIT = 1_400;
    /** Long-poll timeout of target list reads; a removal must be seen well within the drain time of two seconds. */
    static final long TARGETS_WAIT = 1_400;
    /** Minimum time between reads of the target list, so that one call returns many changes. */
    static final long TARGETS_READ_INTERVAL = 900;
    /** Long-poll timeout of member reads; members change rarely, and heartbeats announce changes too. */
    static final long MEMBERS_WAIT = 8_000;
    /** Initial delay after a failed call to the store; doubles up to {@link #MAX_RETRY_PAUSE}. */
    static final long FIRST_RETRY_PAUSE = 100;

    static final long MAX_RETRY_PAUSE = 400;
    /** Part of the time limit for key withdrawal that is reserved for the transmission of a request to a target. */
    static final long REVOKE_MARGIN = 600;
    /** Time between reads of the target list while registrations that expired during an outage are being renewed. */
    static final long RENEWAL_READ_INTERVAL = 300;
    /** Time after the first answer of a store that was away: targets register again within two seconds. */
    static final long RENEWAL_PERIOD = 2_400;
    /**
     * Time after the last read that the store did not answer, from which a removal is final. The store may have
     * returned right after that read; this much later, a target that was removed must get no more requests.
     */
    static final long REMOVALS_FINAL_AFTER = 3_000;
    /** Shortest outage in which registrations can expire: the interval at which targets renew them. */
    static final long SHORTEST_EXPIRING_OUTAGE = 1_200;
    /** Longest delay after a failed read of the target list; it limits the uncertainty of the time of the return. */
    static final long MAX_TARGETS_RETRY_PAUSE = 200;
    /** Heartbeat interval of a full mesh, with up to {@link #MAX_MESH_MEMBERS} members. */
    static final long HEARTBEAT_INTERVAL = 250;
    /** Minimum time between work notices; an engine reads half a prompt in that time. */
    static final long WORK_NOTICE_INTERVAL = 50;
    /** Minimum time between the messages by which a change of load passes through the hubs; it takes up to three. */
    static final long WORK_CHANGE_INTERVAL = 25;
    /** Largest fleet with a full mesh; in larger ones the messages would take too much of a small host. */
    static final int MAX_MESH_MEMBERS = 16;
    /** Heartbeat interval of a fleet that reports to hubs. */
    static final long GROUP_HEARTBEAT_INTERVAL = 300;
    /** Long-poll timeout of configuration reads confirmed to peers; limits how long they serve without the store. */
    static final long READER_CONFIGURATION_WAIT = 500;
    /** Age of the latest read after which an entry reads from the store itself although it has a hub. */
    static final long DIRECT_READ_AGE = 2_500;
    /** The same while no hub has been heard from: an entry must learn of changes well within two seconds. */
    static final long READ_AGE_WITHOUT_HUB = 900;
    /** How long an unresponsive hub is excluded from selection. */
    static final long HUB_EXCLUSION = 5_000;
    /** Number of missed heartbeats after which a peer counts as dead. */
    static final int HEARTBEATS_MISSED = 4;
    /** Timeout for a quota answer of another entry; far above a round trip, far below a latency objective. */
    static final long QUOTA_ANSWER_TIMEOUT = 150;
    /** Number of entries asked for quota units before the request is refused. */
    static final int MAX_QUOTA_ROUNDS = 3;

    private FleetTimings() {}

    static long heartbeatMillis(int members) {
        return isFullMesh(members) ? HEARTBEAT_INTERVAL : GROUP_HEARTBEAT_INTERVAL;
    }

    static boolean isFullMesh(int members) {
        return members <= MAX_MESH_MEMBERS;
    }

    static long peerTimeoutMillis(int members) {
        return HEARTBEATS_MISSED * heartbeatMillis(members);
    }

    static long retryPauseMillis(int failures) {
        return Math.min(MAX_RETRY_PAUSE, FIRST_RETRY_PAUSE << Math.min(failures, 4));
    }
}
