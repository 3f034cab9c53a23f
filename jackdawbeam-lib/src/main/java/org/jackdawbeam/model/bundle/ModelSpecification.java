package org.jackdawbeam.model.bundle;

/**
 * A model defined in the bundle.
 *
 * @param name name that callers use
 * @param bytes accelerator memory of one replica, in bytes
 * @param minimumReplicas minimum number of replicas that placement keeps if memory allows; at least one
 */
public record ModelSpecification(String name, long bytes, int minimumReplicas) {}
