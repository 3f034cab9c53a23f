package org.jackdawbeam.logic.membership;

import java.util.OptionalLong;
import org.jackdawbeam.model.member.Epoch;
import org.jackdawbeam.model.member.Member;

/**
 * The revocation of a share or duty of a member by a later epoch. Other members may use what was revoked only once the
 * revocation is settled.
 *
 * @param previousHolder run that held the share or duty
 * @param revokedByEpoch number of the revoking epoch
 * @param stillMember whether the previous holder is still a member of the revoking epoch
 * @param previousEpoch epoch under which the share or duty was held
 * @param seenAtMillis local time at which the record of the revoking epoch was read from the log
 * @param majorityAtMillis local time at which a majority of the members of {@code previousEpoch} was known to have
 *     acknowledged a later epoch or to be unable to confirm the previous one; empty until then
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

    /** Returns whether every lease under which the previous holder could still act has expired. */
    boolean hasExpired(long nowMillis, long waitMillis) {
        if (majorityAtMillis.isEmpty()) {
            return false;
        }
        long from = Math.max(seenAtMillis, majorityAtMillis.getAsLong());
        return nowMillis >= from + waitMillis;
    }
}
