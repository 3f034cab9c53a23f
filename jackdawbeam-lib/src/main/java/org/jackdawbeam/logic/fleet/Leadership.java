package org.jackdawbeam.logic.fleet;

import java.util.OptionalLong;

/**
 * What this entry knows of the placement duty.
 *
 * @param observedEnd end of the leadership log as last seen; empty if not known
 * @param observedAtMillis when that end was first seen
 * @param fencingToken present while this entry holds the duty
 * @param renewedAtMillis sending time of the latest append that is known to stand
 * @param asking whether a read or an append is under way
 * @param askAtMillis when to ask next
 * @param uncertain whether an append has ended without a usable answer
 */
public record Leadership(
        OptionalLong observedEnd,
        long observedAtMillis,
        OptionalLong fencingToken,
        long renewedAtMillis,
        boolean asking,
        long askAtMillis,
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
                asking,
                askAtMillis,
                false);
    }

    Leadership asking(boolean now) {
        return new Leadership(
                observedEnd, observedAtMillis, fencingToken, renewedAtMillis, now, askAtMillis, uncertain);
    }

    Leadership askingAt(long atMillis) {
        return new Leadership(
                observedEnd, observedAtMillis, fencingToken, renewedAtMillis, asking, atMillis, uncertain);
    }

    Leadership holding(long token, long end, long renewedAt, long nowMillis) {
        return new Leadership(
                OptionalLong.of(end), nowMillis, OptionalLong.of(token), renewedAt, asking, askAtMillis, false);
    }

    Leadership uncertain(boolean now) {
        return new Leadership(observedEnd, observedAtMillis, fencingToken, renewedAtMillis, asking, askAtMillis, now);
    }

    /** Returns whether this entry may send orders. */
    boolean holds(long nowMillis, long leaseMillis) {
        return fencingToken.isPresent() && nowMillis - renewedAtMillis < leaseMillis;
    }
}
