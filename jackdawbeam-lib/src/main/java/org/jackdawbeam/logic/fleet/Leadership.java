package org.jackdawbeam.logic.fleet;

import java.util.OptionalLong;

/**
 * This entry's view of the placement leadership.
 *
 * @param observedEnd last known end offset of the leadership log; empty if unknown
 * @param observedAtMillis when that end was first observed
 * @param fencingToken present while this entry is the leader
 * @param renewedAtMillis when the latest successful append was sent
 * @param callPending whether a read or an append is in flight
 * @param nextCallAtMillis earliest time of the next read or append
 * @param uncertain whether an append has ended without a usable answer
 */
public record Leadership(
        OptionalLong observedEnd,
        long observedAtMillis,
        OptionalLong fencingToken,
        long renewedAtMillis,
        boolean callPending,
        long nextCallAtMillis,
        boolean uncertain) {

    static Leadership unknown() {
        return new Leadership(OptionalLong.empty(), 0, OptionalLong.empty(), 0, false, 0, false);
    }

    Leadership withObservedEnd(long end, long nowMillis) {
        boolean changed = observedEnd.isEmpty() || observedEnd.getAsLong() != end;
        return new Leadership(
                OptionalLong.of(end),
                changed ? nowMillis : observedAtMillis,
                OptionalLong.empty(),
                0,
                callPending,
                nextCallAtMillis,
                false);
    }

    Leadership withCallPending(boolean value) {
        return new Leadership(
                observedEnd, observedAtMillis, fencingToken, renewedAtMillis, value, nextCallAtMillis, uncertain);
    }

    Leadership withNextCallAt(long atMillis) {
        return new Leadership(
                observedEnd, observedAtMillis, fencingToken, renewedAtMillis, callPending, atMillis, uncertain);
    }

    Leadership withLease(long token, long end, long renewedAt, long nowMillis) {
        return new Leadership(
                OptionalLong.of(end),
                nowMillis,
                OptionalLong.of(token),
                renewedAt,
                callPending,
                nextCallAtMillis,
                false);
    }

    Leadership withUncertain(boolean value) {
        return new Leadership(
                observedEnd, observedAtMillis, fencingToken, renewedAtMillis, callPending, nextCallAtMillis, value);
    }

    /** Returns whether this entry's lease is valid, so that it may send orders. */
    boolean isLeaseValid(long nowMillis, long leaseMillis) {
        return fencingToken.isPresent() && nowMillis - renewedAtMillis < leaseMillis;
    }
}
