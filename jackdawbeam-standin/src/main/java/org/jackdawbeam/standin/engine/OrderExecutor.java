package org.jackdawbeam.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.jackdawbeam.net.http.BufferedHttpClient;

/** Executes the items of placement orders one after the other, on the thread of the engine. */
final class OrderExecutor {
    private static final int DONE = 200;
    private static final int OUTDATED_FENCING_TOKEN = 409;
    private static final int INSUFFICIENT_STORAGE = 507;
    private static final long STORE_TIMEOUT_MILLIS = 60_000;
    private static final long UNLOAD_POLL_MILLIS = 20;
    private static final byte[] NO_BODY = new byte[0];

    private final boolean checksFencing;
    private final EngineMemory memory;
    private final BatchSimulation batch;
    private final EngineProfile profile;
    private final BufferedHttpClient storeClient;
    private final InetSocketAddress store;
    private final ScheduledExecutorService executor;
    private final Set<String> unloading = new HashSet<>();
    private long highestFencing;

    OrderExecutor(
            boolean checksFencing,
            EngineMemory memory,
            BatchSimulation batch,
            EngineProfile profile,
            BufferedHttpClient storeClient,
            InetSocketAddress store,
            ScheduledExecutorService executor) {
        this.checksFencing = checksFencing;
        this.memory = memory;
        this.batch = batch;
        this.profile = profile;
        this.storeClient = storeClient;
        this.store = store;
        this.executor = executor;
    }

    long highestFencing() {
        return highestFencing;
    }

    boolean isUnloading(String name) {
        return unloading.contains(name);
    }

    void execute(JsonNode order, IntConsumer onDone) {
        long fencing = order.path("fencing").asLong();
        if (checksFencing && fencing < highestFencing) {
            onDone.accept(OUTDATED_FENCING_TOKEN);
            return;
        }
        highestFencing = Math.max(highestFencing, fencing);
        executeNext(order.path("items").iterator(), onDone);
    }

    private void executeNext(Iterator<JsonNode> items, IntConsumer onDone) {
        if (!items.hasNext()) {
            onDone.accept(DONE);
            return;
        }
        JsonNode item = items.next();
        String name = item.path("name").asText();
        switch (item.path("action").asText()) {
            case "LOAD_MODEL" -> loadModel(item, items, onDone);
            case "LOAD_ADAPTER" ->
                executor.schedule(
                        () -> load(item, true, items, onDone), profile.adapterLoadMillis(), TimeUnit.MILLISECONDS);
            default -> {
                unloading.add(name);
                unload(name, items, onDone);
            }
        }
    }

    private void loadModel(JsonNode item, Iterator<JsonNode> items, IntConsumer onDone) {
        storeClient
                .send(store, "POST", "/store/loads", Map.of(), NO_BODY, STORE_TIMEOUT_MILLIS)
                .whenComplete((answer, failure) -> executor.execute(() -> {
                    if (failure == null && answer.isSuccess()) {
                        load(item, false, items, onDone);
                    } else {
                        onDone.accept(INSUFFICIENT_STORAGE);
                    }
                }));
    }

    private void load(JsonNode item, boolean adapter, Iterator<JsonNode> items, IntConsumer onDone) {
        boolean fits =
                memory.load(item.path("name").asText(), item.path("bytes").asLong(), adapter);
        if (fits) {
            executeNext(items, onDone);
        } else {
            onDone.accept(INSUFFICIENT_STORAGE);
        }
    }

    /** Unloads a model or adapter once no queued or running request uses it. */
    private void unload(String name, Iterator<JsonNode> items, IntConsumer onDone) {
        if (batch.uses(name)) {
            executor.schedule(() -> unload(name, items, onDone), UNLOAD_POLL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        memory.unload(name);
        unloading.remove(name);
        executeNext(items, onDone);
    }
}
