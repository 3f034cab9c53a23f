package org.jackdawbeam.model.fleet;

/**
 * A model that engines of a service can load.
 *
 * @param weightMegabytes size of the weights
 * @param loadMillis time of a load from the weight store
 * @param adapterMegabytes size of one adapter
 */
public record ModelDefinition(String name, double weightMegabytes, long loadMillis, double adapterMegabytes) {}
