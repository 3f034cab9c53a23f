package org.jackdawbeam.model.member;

/**
 * One run of an entry process. A process that restarts, or rejoins after its exclusion, is a new member.
 *
 * @param hostId id of the entry host
 * @param incarnation number that increases with each run on the same host
 * @param zone availability zone of the host
 * @param callerUrl URL for connections from callers
 * @param peerAddress IP address and port for connections from other entries
 */
public record Member(String hostId, long incarnation, String zone, String callerUrl, String peerAddress) {

    /** Returns whether the other member is the same run of the same host. */
    public boolean sameRun(Member other) {
        return hostId.equals(other.hostId) && incarnation == other.incarnation;
    }

    /** Returns a short label for log messages. */
    public String label() {
        return hostId + "/" + incarnation;
    }
}
