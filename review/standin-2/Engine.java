import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/** An engine of a plain service, as PROTOCOL.md tells it. It registers itself in the store and answers requests. */
final class Engine implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;
    private static final long WORK_MILLIS = 20;

    private final String id;
    private final String service;
    private final String zone;
    private final Store store;
    private final BiConsumer<String, Http.Message> onRun;
    private final Http.Server server;
    private final AtomicInteger waiting = new AtomicInteger();
    private final Semaphore slots = new Semaphore(SLOTS);
    private final long born = System.currentTimeMillis();
    private volatile String state = "ready";
    private volatile boolean gone;

    /**
     * Starts an engine.
     *
     * @param onRun receives the id of the engine and each request that it begins to run
     */
    Engine(String id, String service, String zone, String ip, Store store, BiConsumer<String, Http.Message> onRun)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.onRun = onRun;
        this.server = new Http.Server(ip, this::answer);
        Thread.ofVirtual().start(this::sendHeartbeats);
    }

    String id() {
        return id;
    }

    /** Reports that the engine is leaving and returns when the store has accepted that; the engine serves on. */
    void drain() {
        synchronized (this) {
            state = "draining";
            register();
        }
    }

    private void sendHeartbeats() {
        try {
            while (!gone) {
                synchronized (this) {
                    register();
                }
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void register() {
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":" + SLOTS + ",\"state\":\"" + state
                        + "\",\"coldLeftMs\":0,\"seq\":0,\"born\":" + born + "}");
    }

    private byte[] answer(Http.Connection connection, Http.Message request) throws Exception {
        String expected = request.header("expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            return Http.response(421, Map.of("Instance-Id", id, "Not-Executed", "1"), new byte[0]);
        }
        if (waiting.incrementAndGet() > SLOTS + QUEUE) {
            waiting.decrementAndGet();
            return Http.response(503, Map.of("Not-Executed", "1"), new byte[0]);
        }
        slots.acquire();
        try {
            onRun.accept(id, request);
            Thread.sleep(WORK_MILLIS);
        } finally {
            slots.release();
            waiting.decrementAndGet();
        }
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Request-Id", request.header("request-id"));
        headers.put("Server-Seal", id + "." + request.header("request-id"));
        headers.put("Content-Type", "application/json");
        return Http.response(200, headers, ("{\"done\":\"" + request.header("request-id") + "\"}").getBytes());
    }

    @Override
    public void close() throws IOException {
        gone = true;
        server.close();
    }
}
