package org.jackdawbeam.logic.rate;

import org.jackdawbeam.model.fleet.ColdTolerance;
import org.jackdawbeam.model.fleet.WarmUp;

/**
 * Time in which a target is taken to be cold, and this entry's bucket for its requests.
 *
 * @param untilMillis when it is warm; {@link #UNKNOWN_END} while it has not answered since it was lost
 */
public record ColdTime(Source source, long untilMillis, RequestBucket bucket) {
    /** End of the cold time of a target that has not answered since it was lost. */
    public static final long UNKNOWN_END = Long.MAX_VALUE;

    /** Why a target is taken to be cold. */
    public enum Source {
        /** The target says so in the list. */
        LISTED,
        /** Its zone is used again after a time without requests, as all entries know. */
        ZONE_RETURNED,
        /** This entry lost its connection, so the target may have started again. */
        SUSPECTED
    }

    /** Returns the cold time of a target that says that it is cold. */
    public static ColdTime listed(long untilMillis, long nowMillis) {
        return new ColdTime(Source.LISTED, untilMillis, RequestBucket.empty(nowMillis));
    }

    /** Returns the cold time of a target whose zone is used again. */
    public static ColdTime zoneReturned(long untilMillis, long nowMillis) {
        return new ColdTime(Source.ZONE_RETURNED, untilMillis, RequestBucket.empty(nowMillis));
    }

    /** Returns the cold time of a target that has just been lost. */
    public static ColdTime lost(long nowMillis) {
        return new ColdTime(Source.SUSPECTED, UNKNOWN_END, RequestBucket.full(nowMillis));
    }

    /** Returns the same cold time with another end. */
    public ColdTime withUntil(long changed) {
        return new ColdTime(source, changed, bucket);
    }

    /** Returns the same cold time with the given bucket. */
    public ColdTime withBucket(RequestBucket changed) {
        return new ColdTime(source, untilMillis, changed);
    }

    /** Returns whether the target is warm. */
    public boolean isOver(long nowMillis) {
        return nowMillis >= untilMillis;
    }

    /** Returns how the entries share the rate of the target. */
    public SharedRate rate(WarmUp warmUp, ColdTolerance tolerance) {
        return switch (source) {
            case LISTED, ZONE_RETURNED -> SharedRate.cold(warmUp, tolerance);
            case SUSPECTED -> SharedRate.suspected(warmUp, tolerance);
        };
    }
}
