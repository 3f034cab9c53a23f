package org.jackdawbeam.standin.engine;

/**
 * Speed and memory of an emulated engine.
 *
 * @param capacityBytes accelerator memory
 * @param cacheReserveBytes accelerator memory reserved for the KV cache
 * @param stepBaseMillis base duration of a batch step
 * @param stepRequestMillis time that each request in the batch adds to a step
 * @param prefillTokenMillis time that each prompt token adds to a step
 * @param prefillChunkTokens maximum number of prompt tokens computed in one step
 * @param maximumBatch maximum number of requests in the batch
 * @param cacheTokens capacity of the KV cache of running requests, in tokens
 * @param prefixBlocks capacity of the prefix cache, in blocks
 * @param adapterLoadMillis time to load an adapter
 */
public record EngineProfile(
        long capacityBytes,
        long cacheReserveBytes,
        double stepBaseMillis,
        double stepRequestMillis,
        double prefillTokenMillis,
        int prefillChunkTokens,
        int maximumBatch,
        long cacheTokens,
        int prefixBlocks,
        long adapterLoadMillis) {

    /** Returns the profile of a mid-sized accelerator with the given memory. */
    public static EngineProfile standard(long capacityBytes, long cacheReserveBytes) {
        return new EngineProfile(capacityBytes, cacheReserveBytes, 8, 0.35, 0.03, 512, 64, 200_000, 2_000, 10);
    }

    /** Returns a profile whose step times are multiplied by the factor. */
    public EngineProfile slowedBy(double factor) {
        return new EngineProfile(
                capacityBytes,
                cacheReserveBytes,
                stepBaseMillis * factor,
                stepRequestMillis * factor,
                prefillTokenMillis * factor,
                prefillChunkTokens,
                maximumBatch,
                cacheTokens,
                prefixBlocks,
                adapterLoadMillis);
    }
}
