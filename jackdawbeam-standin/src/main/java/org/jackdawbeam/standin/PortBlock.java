package org.jackdawbeam.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;

/** Finds blocks of consecutive free ports for processes whose ports are fixed in their settings. */
public final class PortBlock {
    private static final int LOWEST_PORT = 20_000;
    private static final int HIGHEST_PORT = 32_000; // stays below the ephemeral ports, which start at 32,768
    private static final int MAXIMUM_ATTEMPTS = 200;
    /** Ports already returned, as their processes may not listen on them yet. */
    private static final Set<Integer> RESERVED = new HashSet<>();

    private PortBlock() {}

    /**
     * Reserves consecutive ports that are free on the loopback address, and returns the first of them.
     *
     * @throws IllegalStateException if none are found
     */
    public static synchronized int find(int count) {
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            int first = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT - count);
            if (areFree(first, count)) {
                IntStream.range(first, first + count).forEach(RESERVED::add);
                return first;
            }
        }
        throw new IllegalStateException("no " + count + " consecutive free ports");
    }

    private static boolean areFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            if (RESERVED.contains(port)) {
                return false;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                socket.setReuseAddress(true);
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }
}
