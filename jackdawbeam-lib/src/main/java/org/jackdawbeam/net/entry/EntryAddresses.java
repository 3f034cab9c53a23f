package org.jackdawbeam.net.entry;

import java.net.InetSocketAddress;

/**
 * Addresses that an entry listens on and the address of the platform.
 *
 * @param callers listening address for callers
 * @param peers listening address for other entries
 * @param administration listening address for operators and monitoring
 * @param platform address of the platform's service
 */
public record EntryAddresses(
        InetSocketAddress callers,
        InetSocketAddress peers,
        InetSocketAddress administration,
        InetSocketAddress platform) {}
