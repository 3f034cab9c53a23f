package org.jackdawbeam.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.ModelDefinition;

/** Model weights cached in the host memory and on the disk of an engine; the least recently loaded are evicted. */
final class WeightCache {
    private final EngineDefinition definition;
    private final PolicySite.EngineSpeed speed;
    private final Deque<String> inMemory = new ArrayDeque<>();
    private final Deque<String> onDisk = new ArrayDeque<>();

    WeightCache(EngineDefinition definition, PolicySite.EngineSpeed speed) {
        this.definition = definition;
        this.speed = speed;
    }

    void add(String model) {
        insert(inMemory, model, speed.memoryMegabytes());
        insert(onDisk, model, speed.diskMegabytes());
    }

    Set<String> cachedModels() {
        Set<String> all = new HashSet<>(inMemory);
        all.addAll(onDisk);
        return Set.copyOf(all);
    }

    long loadMillis(ModelDefinition model) {
        if (inMemory.contains(model.name())) {
            return model.memoryMillis();
        }
        return onDisk.contains(model.name()) ? model.diskMillis() : model.loadMillis();
    }

    private void insert(Deque<String> copies, String model, double megabytes) {
        copies.remove(model);
        copies.addLast(model);
        while (copies.stream()
                        .mapToDouble(name -> definition.models().get(name).weightMegabytes())
                        .sum()
                > megabytes) {
            copies.removeFirst();
        }
    }
}
