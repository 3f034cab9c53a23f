package org.jackdawbeam.model.bundle;

import java.util.Optional;

/**
 * A back end that requests are routed to.
 *
 * @param name target id
 * @param address IP and port, {@code 127.0.0.1:8000}
 * @param zone availability zone
 * @param kind model engine or plain service
 * @param capacityBytes accelerator memory in bytes; zero for services
 * @param cacheReserveBytes accelerator memory reserved for the KV cache, in bytes
 * @param checksFencing whether the target rejects orders with an outdated fencing number
 * @param service name of the service; empty for engines
 */
public record TargetSpecification(
        String name,
        String address,
        String zone,
        TargetKind kind,
        long capacityBytes,
        long cacheReserveBytes,
        boolean checksFencing,
        Optional<String> service) {}
