package org.jackdawbeam.logic.placement;

import java.util.Map;
import java.util.Set;
import org.jackdawbeam.model.bundle.TargetSpecification;

/**
 * Memory and order state of one engine, as used for placement.
 *
 * @param specification the engine
 * @param usable whether the engine reports, is not leaving and is not suspended
 * @param ready models and adapters reported as resident and not being unloaded by an open order
 * @param committed bytes by name of everything that is resident, may be resident, or is being loaded
 * @param loading names of models and adapters that an open order loads
 * @param loaded names that resolved orders have loaded but the engine has not reported yet
 * @param busy whether the engine cannot receive an order now
 * @param uncertain whether the resident set is unknown until the next load report
 * @param needsFence whether the engine has restarted since its last order, so that older orders must be fenced
 */
record EngineView(
        TargetSpecification specification,
        boolean usable,
        Set<String> ready,
        Map<String, Long> committed,
        Set<String> loading,
        Set<String> loaded,
        boolean busy,
        boolean uncertain,
        boolean needsFence) {

    /** Returns whether the engine holds the model or is loading it. */
    boolean willHold(String model) {
        return ready.contains(model) || loading.contains(model) || loaded.contains(model);
    }

    String name() {
        return specification.name();
    }

    long freeBytes() {
        long used = committed.values().stream().mapToLong(Long::longValue).sum();
        return specification.capacityBytes() - specification.cacheReserveBytes() - used;
    }
}
