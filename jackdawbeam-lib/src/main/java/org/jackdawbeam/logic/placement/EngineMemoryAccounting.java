package org.jackdawbeam.logic.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jackdawbeam.logic.configuration.LoggedState;
import org.jackdawbeam.logic.target.TargetState;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.bundle.TargetKind;
import org.jackdawbeam.model.log.LogRecord.LoggedOrder;
import org.jackdawbeam.model.log.LogRecord.LoggedResidency;
import org.jackdawbeam.model.log.OrderItem;
import org.jackdawbeam.model.target.EngineLoad;

/**
 * Computes the memory use of each engine. Counts the union of what the engine reported, what resolved orders loaded,
 * and what an open order may load, so that the same memory is never allocated twice.
 */
final class EngineMemoryAccounting {

    private EngineMemoryAccounting() {}

    static List<EngineView> views(
            Bundle bundle,
            LoggedState logged,
            Map<String, TargetState> targets,
            Map<String, Long> reportsValidFromMillis,
            long nowMillis) {
        Map<String, Long> sizes = sizes(bundle);
        return bundle.targets().stream()
                .filter(target -> target.kind() == TargetKind.ENGINE)
                .filter(target -> targets.containsKey(target.name()))
                .map(target -> view(
                        targets.get(target.name()),
                        logged,
                        sizes,
                        reportsValidFromMillis.getOrDefault(target.name(), Long.MIN_VALUE),
                        nowMillis))
                .toList();
    }

    private static EngineView view(
            TargetState target,
            LoggedState logged,
            Map<String, Long> sizes,
            long reportsValidFromMillis,
            long nowMillis) {
        LoggedOrder order = logged.orders().get(target.name());
        boolean open = order != null && !order.resolved();
        Set<String> ready = new HashSet<>();
        Map<String, Long> committed = new HashMap<>();
        target.load().ifPresent(load -> addReported(load, sizes, ready, committed));
        addResolved(target, logged, ready, committed);
        Set<String> loaded = loadedButNotReported(target, logged, ready);
        Set<String> loading = new HashSet<>();
        if (open) {
            addOpenOrder(order.order().items(), ready, committed, loading);
        }
        boolean usable = target.load().isPresent() && !target.isLeaving() && nowMillis >= target.suspendedUntilMillis();
        boolean fencing = open && order.order().items().isEmpty();
        boolean uncertain = fencing || target.loadRequestedAtMillis() < reportsValidFromMillis;
        return new EngineView(
                target.specification(),
                usable,
                ready,
                committed,
                loading,
                loaded,
                open || uncertain,
                uncertain,
                order != null && !open && needsFence(target, logged));
    }

    /** An engine loses its highest fencing number when it restarts. */
    private static boolean needsFence(TargetState target, LoggedState logged) {
        if (!target.specification().checksFencing() || target.load().isEmpty()) {
            return false;
        }
        LoggedResidency residency = logged.residencies().get(target.name());
        return residency == null || !target.runsAs(residency.engineRun());
    }

    private static void addReported(
            EngineLoad load, Map<String, Long> sizes, Set<String> ready, Map<String, Long> committed) {
        for (String name : load.models()) {
            ready.add(name);
            committed.put(name, sizes.getOrDefault(name, 0L));
        }
        for (String name : load.adapters()) {
            ready.add(name);
            committed.put(name, sizes.getOrDefault(name, 0L));
        }
        long known = committed.values().stream().mapToLong(Long::longValue).sum();
        long unknown = load.residentBytes() - known;
        if (unknown > 0) {
            committed.put("", unknown);
        }
    }

    private static void addResolved(
            TargetState target, LoggedState logged, Set<String> ready, Map<String, Long> committed) {
        LoggedResidency residency = logged.residencies().get(target.name());
        boolean applies = residency != null && (target.load().isEmpty() || target.runsAs(residency.engineRun()));
        if (applies) {
            residency.items().forEach(item -> committed.put(item.name(), item.bytes()));
            ready.removeAll(residency.unloaded());
        }
    }

    /** Returns what resolved orders have loaded but the engine has not reported yet, to avoid loading it again. */
    private static Set<String> loadedButNotReported(TargetState target, LoggedState logged, Set<String> ready) {
        Set<String> loaded = new HashSet<>();
        LoggedResidency residency = logged.residencies().get(target.name());
        if (residency != null && target.runsAs(residency.engineRun())) {
            residency.items().forEach(item -> loaded.add(item.name()));
        }
        loaded.removeAll(ready);
        return loaded;
    }

    private static void addOpenOrder(
            List<OrderItem> items, Set<String> ready, Map<String, Long> committed, Set<String> loading) {
        for (OrderItem item : items) {
            if (item.loads()) {
                loading.add(item.name());
                committed.put(item.name(), item.bytes());
            } else {
                ready.remove(item.name());
            }
        }
    }

    private static Map<String, Long> sizes(Bundle bundle) {
        Map<String, Long> sizes = new HashMap<>();
        bundle.models().forEach(model -> sizes.put(model.name(), model.bytes()));
        bundle.adapters().forEach(adapter -> sizes.put(adapter.name(), adapter.bytes()));
        return sizes;
    }
}
