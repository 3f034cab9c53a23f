package org.jackdawbeam.logic.membership;

import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.peer.PeerMessage.Report;

/**
 * State of another entry as known to this one. Times are those of the local clock.
 *
 * @param member latest known run of that host
 * @param report last report received from the peer
 * @param lastMessageMillis time at which the last message arrived, or at which the peer became known
 * @param acknowledgedHeartbeatMillis send time of the latest heartbeat that the peer answered without knowing a later
 *     epoch
 */
public record Peer(Member member, Report report, long lastMessageMillis, long acknowledgedHeartbeatMillis) {

    /** Returns whether the peer is the given run and has acknowledged the given epoch or a later one. */
    boolean acknowledged(Member run, long epoch) {
        return member.sameRun(run) && report.knownEpoch() >= epoch;
    }

    /** Returns whether the peer is a later run of the same host than the given one. */
    boolean replaces(Member run) {
        return member.hostId().equals(run.hostId()) && member.incarnation() > run.incarnation();
    }
}
