package org.jackdawbeam.model.bundle;

/**
 * A low-rank adapter (LoRA) for a base model.
 *
 * @param name name that callers use, alone or as {@code model:adapter}
 * @param model name of the base model
 * @param bytes accelerator memory of the adapter, in bytes
 */
public record AdapterSpecification(String name, String model, long bytes) {}
