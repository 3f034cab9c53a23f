package org.jackdawbeam.logic.target;

import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Approximate index of the prompt prefixes in the cache of a target, based on dispatched requests and cache
 * announcements. When the index is full, the least recently used half is evicted.
 *
 * @param lastUsedMillis time of the last use, by prefix hash
 */
public record PrefixIndex(PMap<Long, Long> lastUsedMillis) {
    private static final int MAXIMUM_PREFIXES = 512;

    /** Returns an empty index. */
    public static PrefixIndex empty() {
        return new PrefixIndex(HashTreePMap.empty());
    }

    /** Returns the number of leading prompt blocks that are likely to be cached. */
    public int matchingBlocks(List<Long> prefixHashes) {
        int blocks = 0;
        while (blocks < prefixHashes.size() && lastUsedMillis.containsKey(prefixHashes.get(blocks))) {
            blocks++;
        }
        return blocks;
    }

    /** Records that the target has processed the given prefixes. */
    public PrefixIndex withSeen(List<Long> prefixHashes, long nowMillis) {
        PMap<Long, Long> grown = lastUsedMillis;
        for (Long hash : prefixHashes) {
            grown = grown.plus(hash, nowMillis);
        }
        PrefixIndex index = new PrefixIndex(grown);
        return grown.size() > MAXIMUM_PREFIXES ? index.withoutOlderHalf() : index;
    }

    /** Records that the target has evicted the given prefixes. */
    public PrefixIndex withDropped(List<Long> prefixHashes) {
        PMap<Long, Long> shrunk = lastUsedMillis;
        for (Long hash : prefixHashes) {
            shrunk = shrunk.minus(hash);
        }
        return new PrefixIndex(shrunk);
    }

    private PrefixIndex withoutOlderHalf() {
        long[] times = lastUsedMillis.values().stream()
                .mapToLong(Long::longValue)
                .sorted()
                .toArray();
        long median = times[times.length / 2];
        PMap<Long, Long> kept = lastUsedMillis;
        for (var prefix : lastUsedMillis.entrySet()) {
            kept = prefix.getValue() <= median ? kept.minus(prefix.getKey()) : kept;
        }
        return new PrefixIndex(kept);
    }
}
