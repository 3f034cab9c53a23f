package org.jackdawbeam.logic.target;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The platform's list of live and leaving hosts, as far as this entry has read it.
 *
 * @param leaving targets that are listed as leaving
 * @param askedAtMillis when the question was sent whose answer this is
 * @param polledAtMillis when the list was asked for last
 * @param unansweredSinceMillis when the first question was sent that has no answer yet; none if negative
 */
public record HostList(PSet<String> leaving, long askedAtMillis, long polledAtMillis, long unansweredSinceMillis) {
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;
    private static final long MAXIMUM_AGE_MILLIS = 3_000;
    private static final long ANSWER_TIMEOUT_MILLIS = 2_000;

    /** Returns the list of an entry that has not asked yet. */
    public static HostList unread() {
        return new HostList(HashTreePSet.empty(), NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS);
    }

    /** Records a question. */
    public HostList polled(long nowMillis) {
        boolean waiting = unansweredSinceMillis != NEVER_MILLIS;
        return new HostList(leaving, askedAtMillis, nowMillis, waiting ? unansweredSinceMillis : nowMillis);
    }

    /** Records an answer, unless a later question has been answered already. */
    public HostList answered(PSet<String> nowLeaving, long askedAt) {
        return askedAt < askedAtMillis ? this : new HostList(nowLeaving, askedAt, polledAtMillis, NEVER_MILLIS);
    }

    /**
     * Returns whether work may be sent on the strength of this list. A list that is old must be read again first, for
     * instance after the process was paused; while the platform does not answer, the old list has to do.
     */
    public boolean isUsable(long nowMillis) {
        boolean fresh = nowMillis - askedAtMillis < MAXIMUM_AGE_MILLIS;
        boolean waiting = unansweredSinceMillis != NEVER_MILLIS;
        boolean platformSilent = waiting && nowMillis - unansweredSinceMillis >= ANSWER_TIMEOUT_MILLIS;
        return fresh || platformSilent;
    }
}
