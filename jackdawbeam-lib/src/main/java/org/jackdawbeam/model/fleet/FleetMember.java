package org.jackdawbeam.model.fleet;

/**
 * An entry host as it announces itself to the others.
 *
 * @param id name of the host
 * @param incarnation differs with each start
 * @param peerAddress where other entries connect to
 * @param callerAddress where callers connect to
 * @param linkMegabits capacity of the host's link in Mbit/s; hosts with more of it pass news on to others
 */
public record FleetMember(
        String id, String incarnation, String zone, String peerAddress, String callerAddress, int linkMegabits) {}
