package org.jackdawbeam.model.fleet;

/**
 * An entry host as announced to the other hosts.
 *
 * @param id name of the host
 * @param incarnation identifies one run of the process; differs with each start
 * @param peerAddress address for connections from other entries
 * @param callerAddress address for connections from callers
 * @param linkMegabits capacity of the host's network link in Mbit/s; hosts with higher capacity relay messages to
 *     others
 */
public record FleetMember(
        String id, String incarnation, String zone, String peerAddress, String callerAddress, int linkMegabits) {}
