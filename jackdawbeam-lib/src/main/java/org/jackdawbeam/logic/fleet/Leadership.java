package org.jackdawbeam.logic.fleet;

import java.util.OptionalLong;

/**
 * What this entry knows of the placement duty.
 *
 * @param observedEnd end of the leadership log as last seen; empty if not known
 * @param observedAtMillis when that end was first seen
 * @param fencingToken present while this entry holds the duty
 * @param renewedAtMillis sending time of the latest append that is known to stand
 * @param callPending whether a read or an append is under way
 * @param nextCallAtMillis when to ask next
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

    Leadership observed(long end, long nowMillis) {
        boolean news = observedEnd.isEmpty() || observedEnd.getAsLong() != end;
        return new Leadership(
                OptionalLong.of(end),
                news ? nowMillis : observedAtMillis,
                OptionalLong.empty(),
                0,
                callPending,
                nextCallAtMillis,
                false);
    }

    Leadership withCallPending(boolean now) {
        return new Leadership(
                observedEnd, observedAtMillis, fencingToken, renewedAtMillis, now, nextCallAtMillis, uncertain);
    }

    Leadership withNextCallAt(long atMillis) {
        return new Leadership(
                observedEnd, observedAtMillis, fencingToken, renewedAtMillis, callPending, atMillis, uncertain);
    }

    Leadership held(long token, long end, long renewedAt, long nowMillis) {
        return new Leadership(
                OptionalLong.of(end),
                nowMillis,
                OptionalLong.of(token),
                renewedAt,
                callPending,
                nextCallAtMillis,
                false);
    }

    Leadership withUncertain(boolean now) {
        return new Leadership(
                observedEnd, observedAtMillis, fencingToken, renewedAtMillis, callPending, nextCallAtMillis, now);
    }

    /** Returns whether this entry may send orders. */
    boolean holds(long nowMillis, long leaseMillis) {
        return fencingToken.isPresent() && nowMillis - renewedAtMillis < leaseMillis;
    }
}
