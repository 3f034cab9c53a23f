package org.jackdawbeam.logic.target;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The platform's list of live and leaving hosts as last read by this entry.
 *
 * @param leaving targets listed as leaving
 * @param askedAtMillis time of the request that returned this list
 * @param polledAtMillis time of the latest request for the list
 * @param unansweredSinceMillis time of the first unanswered request; negative if there is none
 */
public record HostList(PSet<String> leaving, long askedAtMillis, long polledAtMillis, long unansweredSinceMillis) {
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;
    private static final long MAXIMUM_AGE_MILLIS = 3_000;
    private static final long ANSWER_TIMEOUT_MILLIS = 2_000;

    /** Returns the initial state, before the first request. */
    public static HostList unread() {
        return new HostList(HashTreePSet.empty(), NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS);
    }

    /** Records a request for the list. */
    public HostList polled(long nowMillis) {
        boolean waiting = unansweredSinceMillis != NEVER_MILLIS;
        return new HostList(leaving, askedAtMillis, nowMillis, waiting ? unansweredSinceMillis : nowMillis);
    }

    /** Records an answer, unless a later request has already been answered. */
    public HostList answered(PSet<String> nowLeaving, long askedAt) {
        return askedAt < askedAtMillis ? this : new HostList(nowLeaving, askedAt, polledAtMillis, NEVER_MILLIS);
    }

    /**
     * Returns whether requests may be dispatched based on this list. An outdated list, for instance after the process
     * was paused, must be read again first. While the platform does not answer, the outdated list is used.
     */
    public boolean isUsable(long nowMillis) {
        boolean fresh = nowMillis - askedAtMillis < MAXIMUM_AGE_MILLIS;
        boolean waiting = unansweredSinceMillis != NEVER_MILLIS;
        boolean platformSilent = waiting && nowMillis - unansweredSinceMillis >= ANSWER_TIMEOUT_MILLIS;
        return fresh || platformSilent;
    }
}
