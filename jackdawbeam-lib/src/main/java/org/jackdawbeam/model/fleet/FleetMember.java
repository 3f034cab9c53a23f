package org.jackdawbeam.model.fleet;

/**
 * An entry host as it announces itself to the others.
 *
 * @param id name of the host
 * @param incarnation differs with each start
 * @param peerAddress where other entries connect to
 * @param callerAddress where callers connect to
 */
public record FleetMember(String id, String incarnation, String zone, String peerAddress, String callerAddress) {}
