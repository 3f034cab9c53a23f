package org.jackdawbeam.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Accelerator memory of an emulated engine. Not thread-safe. */
public final class EngineMemory {
    private final long usableBytes;
    private final Map<String, Long> models = new LinkedHashMap<>();
    private final Map<String, Long> adapters = new LinkedHashMap<>();
    private long overcommitted;

    public EngineMemory(EngineProfile profile) {
        this.usableBytes = profile.capacityBytes() - profile.cacheReserveBytes();
    }

    /** Allocates memory for a model or adapter; counts and rejects a load that does not fit. */
    public boolean load(String name, long bytes, boolean adapter) {
        if (models.containsKey(name) || adapters.containsKey(name)) {
            return true;
        }
        if (residentBytes() + bytes > usableBytes) {
            overcommitted++;
            return false;
        }
        (adapter ? adapters : models).put(name, bytes);
        return true;
    }

    /** Frees the memory of a model or adapter. */
    public void unload(String name) {
        models.remove(name);
        adapters.remove(name);
    }

    /** Returns whether a model or adapter is resident. */
    public boolean holds(String name) {
        return models.containsKey(name) || adapters.containsKey(name);
    }

    /** Returns the memory of all resident models and adapters. */
    public long residentBytes() {
        return models.values().stream().mapToLong(Long::longValue).sum()
                + adapters.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the number of loads that were rejected because they did not fit. */
    public long overcommitted() {
        return overcommitted;
    }

    /** Returns the resident models. */
    public List<String> models() {
        return new ArrayList<>(models.keySet());
    }

    /** Returns the resident adapters. */
    public List<String> adapters() {
        return new ArrayList<>(adapters.keySet());
    }
}
