package org.jackdawbeam.bench.policy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Prefix cache of an engine with least-recently-used eviction. */
final class PromptCache {
    private static final float LOAD_FACTOR = 0.75F;

    private final long capacityTokens;
    private final Map<String, Integer> tokensByPrefix = new LinkedHashMap<>(16, LOAD_FACTOR, true);
    private long usedTokens;

    PromptCache(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Returns the number of prompt tokens after the longest cached prefix. */
    long uncachedTokens(List<String> prefixKeys, List<Integer> partTokens) {
        int cached = 0;
        while (cached < prefixKeys.size() && tokensByPrefix.get(prefixKeys.get(cached)) != null) {
            cached++;
        }
        return partTokens.subList(cached, partTokens.size()).stream()
                .mapToLong(Integer::longValue)
                .sum();
    }

    void add(List<String> prefixKeys, List<Integer> partTokens) {
        for (int part = 0; part < prefixKeys.size(); part++) {
            if (tokensByPrefix.put(prefixKeys.get(part), partTokens.get(part)) == null) {
                usedTokens += partTokens.get(part);
            }
        }
        Iterator<Map.Entry<String, Integer>> oldest = tokensByPrefix.entrySet().iterator();
        while (usedTokens > capacityTokens && oldest.hasNext()) {
            usedTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    void removeModel(String model) {
        tokensByPrefix.entrySet().removeIf(entry -> {
            boolean ofModel = entry.getKey().startsWith(model + "/");
            usedTokens -= ofModel ? entry.getValue() : 0;
            return ofModel;
        });
    }

    void clear() {
        tokensByPrefix.clear();
        usedTokens = 0;
    }
}
