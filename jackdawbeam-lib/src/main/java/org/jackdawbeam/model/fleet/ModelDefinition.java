package org.jackdawbeam.model.fleet;

/**
 * A model that the engines of a service can load.
 *
 * @param weightMegabytes size of the weights in megabytes
 * @param loadMillis time to load from the weight store
 * @param diskMillis time to load from a copy on the engine's disk
 * @param memoryMillis time to load from a copy in the engine's host memory
 * @param adapterMegabytes size of one adapter in megabytes
 */
public record ModelDefinition(
        String name,
        double weightMegabytes,
        long loadMillis,
        long diskMillis,
        long memoryMillis,
        double adapterMegabytes) {

    /** Returns the load time, from disk if the engine has a local copy and from the weight store otherwise. */
    public long loadMillis(boolean atHand) {
        return atHand ? diskMillis : loadMillis;
    }
}
