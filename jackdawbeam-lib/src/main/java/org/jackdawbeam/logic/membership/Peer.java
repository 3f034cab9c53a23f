package org.jackdawbeam.logic.membership;

import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.peer.PeerMessage.Report;

/**
 * What this entry knows of another one.
 *
 * @param member latest known run on that host
 * @param report what the peer last said about itself
 * @param lastMessageMillis when the last message came, by the own clock
 * @param acknowledgedHeartbeatMillis when the own question was sent that the peer answered last, by the own clock
 */
public record Peer(Member member, Report report, long lastMessageMillis, long acknowledgedHeartbeatMillis) {

    /** Returns whether the peer is the given run and has acknowledged the epoch or a later one. */
    boolean acknowledged(Member run, long epoch) {
        return member.sameRun(run) && report.knownEpoch() >= epoch;
    }

    /** Returns whether a later run has taken the place of the given one. */
    boolean replaces(Member run) {
        return member.hostId().equals(run.hostId()) && member.incarnation() > run.incarnation();
    }
}
