package org.jackdawbeam.model.bundle;

/**
 * Limits of the store from which engines load model weights.
 *
 * @param loadsPerSecond maximum number of model loads started per second
 * @param concurrentLoads maximum number of concurrent model loads without loss of speed
 * @param concurrentAdapterLoads maximum number of concurrent adapter loads without loss of speed
 */
public record StoreSpecification(double loadsPerSecond, int concurrentLoads, int concurrentAdapterLoads) {

    /** Returns default limits, suitable for a small store. */
    public static StoreSpecification defaults() {
        return new StoreSpecification(2, 3, 25);
    }
}
