package org.jackdawbeam.logic.fleet;

import java.util.OptionalLong;

/**
 * Era of the platform's store. A store restored from an older backup has lost later writes and reuses their offsets, so
 * it increments its era on each restore.
 *
 * @param number era of the store; empty if the store does not state one
 * @param sinceMillis when this entry learned of the era; answers to earlier calls are ignored
 * @param configurationBehind whether the restored store holds an older configuration than this entry has seen
 */
public record StoreEra(OptionalLong number, long sinceMillis, boolean configurationBehind) {
    /** Number of low bits of a fencing token that hold the offset within an era. */
    private static final int OFFSET_BITS = 32;

    static StoreEra unknown() {
        return new StoreEra(OptionalLong.empty(), Long.MIN_VALUE, false);
    }

    StoreEra withConfigurationBehind(boolean value) {
        return new StoreEra(number, sinceMillis, value);
    }

    /** Returns whether a call was sent before this entry learned of the era. */
    boolean predates(long askedAtMillis) {
        return askedAtMillis < sinceMillis;
    }

    /** Returns the fencing token of a leader that has appended at the offset, higher than any token of earlier eras. */
    long fencingToken(long offset) {
        return (number.orElse(0) << OFFSET_BITS) + offset + 1;
    }

    /** Returns whether a fencing token was issued in this era. */
    boolean issued(long fencingToken) {
        return fencingToken >> OFFSET_BITS == number.orElse(0);
    }
}
