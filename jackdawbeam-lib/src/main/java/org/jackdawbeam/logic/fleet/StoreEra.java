package org.jackdawbeam.logic.fleet;

import java.util.OptionalLong;

/**
 * Which copy of the platform's store this entry speaks with. A store that comes back from an older copy has lost what
 * was written since, and gives out offsets again; each time its era rises.
 *
 * @param number era of the store; empty for a store that does not tell it
 * @param sinceMillis when this entry learnt of the era; what it had asked before is not believed
 * @param configurationBehind whether the copy holds an older configuration than this entry has seen
 */
public record StoreEra(OptionalLong number, long sinceMillis, boolean configurationBehind) {
    /** Room for the offsets of one era in a fencing token. */
    private static final int OFFSET_BITS = 32;

    static StoreEra unknown() {
        return new StoreEra(OptionalLong.empty(), Long.MIN_VALUE, false);
    }

    StoreEra withConfigurationBehind(boolean now) {
        return new StoreEra(number, sinceMillis, now);
    }

    /** Returns whether a question was asked before this entry learnt of the era. */
    boolean predates(long askedAtMillis) {
        return askedAtMillis < sinceMillis;
    }

    /** Returns the token of a holder that has appended at the offset: higher than all tokens of earlier eras. */
    long fencingToken(long offset) {
        return (number.orElse(0) << OFFSET_BITS) + offset + 1;
    }

    /** Returns whether a token was given out in this era. */
    boolean issued(long fencingToken) {
        return fencingToken >> OFFSET_BITS == number.orElse(0);
    }
}
