package org.jackdawbeam.bench.harness;

import org.jackdawbeam.model.bundle.StoreSpecification;

/**
 * Emulates the weight store on the event queue: it limits the rate at which loads start, and slows loads down once more
 * of them run concurrently than it serves at full speed.
 */
public final class FakeStore {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double ADAPTER_MILLIS = 10;

    private final EventQueue queue;
    private final StoreSpecification limits;
    private final double loadMillis;
    private double nextStartMillis;
    private int loading;
    private int adaptersLoading;

    public FakeStore(EventQueue queue, StoreSpecification limits, double loadMillis) {
        this.queue = queue;
        this.limits = limits;
        this.loadMillis = loadMillis;
    }

    /** Loads a model. */
    public void load(Runnable onDone) {
        double startMillis = Math.max(queue.nowMillis(), nextStartMillis);
        nextStartMillis = startMillis + MILLIS_PER_SECOND / limits.loadsPerSecond();
        loading++;
        double slowdown = Math.max(1, (double) loading / limits.concurrentLoads());
        queue.after(startMillis - queue.nowMillis() + loadMillis * slowdown, () -> {
            loading--;
            onDone.run();
        });
    }

    /** Loads an adapter. */
    public void loadAdapter(Runnable onDone) {
        adaptersLoading++;
        double slowdown = Math.max(1, (double) adaptersLoading / limits.concurrentAdapterLoads());
        queue.after(ADAPTER_MILLIS * slowdown, () -> {
            adaptersLoading--;
            onDone.run();
        });
    }
}
