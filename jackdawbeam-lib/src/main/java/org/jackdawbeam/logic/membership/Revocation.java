package org.jackdawbeam.logic.membership;

import java.util.OptionalLong;
import org.jackdawbeam.model.member.Epoch;
import org.jackdawbeam.model.member.Member;

/**
 * Something that an epoch takes away from a member. Others may use it only once it is settled.
 *
 * @param previousHolder the run that held it
 * @param revokedByEpoch number of the epoch that takes it away
 * @param stillMember whether the loser is still a member of that epoch
 * @param previousEpoch the epoch under which it was held
 * @param seenAtMillis when the epoch's record was seen in the log, by the own clock
 * @param majorityAtMillis when a majority of the members of {@code previousEpoch} had acknowledged a later epoch
 */
record Revocation(
        Member previousHolder,
        long revokedByEpoch,
        boolean stillMember,
        Epoch previousEpoch,
        long seenAtMillis,
        OptionalLong majorityAtMillis) {

    Revocation withMajorityAt(long nowMillis) {
        return new Revocation(
                previousHolder, revokedByEpoch, stillMember, previousEpoch, seenAtMillis, OptionalLong.of(nowMillis));
    }

    /** Returns whether every lease under which the loser could still use it has lapsed. */
    boolean hasExpired(long nowMillis, long waitMillis) {
        if (majorityAtMillis.isEmpty()) {
            return false;
        }
        long from = Math.max(seenAtMillis, majorityAtMillis.getAsLong());
        return nowMillis >= from + waitMillis;
    }
}
