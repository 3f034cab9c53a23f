import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A model engine, as PROTOCOL.md tells it: it registers itself, reports, carries out orders and answers with a stream. */
final class ModelEngine implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long LOAD_MILLIS = 600;
    private static final int EVENTS = 3;
    private static final Pattern FIELD = Pattern.compile("\"(operation|model|expected|fencingToken)\":\"?([^\",}]*)");

    private final String id;
    private final String service;
    private final String zone;
    private final Store store;
    private final BiConsumer<String, String> onOrder;
    private final BiConsumer<String, String> onRun;
    private final Http.Server server;
    private final Set<String> models = new TreeSet<>();
    private final long born = System.currentTimeMillis();
    private long orderCount;
    private long highestToken;
    private boolean busy;
    private volatile boolean gone;

    /**
     * Starts an engine.
     *
     * @param onOrder receives the id of the engine and each order that it accepts
     * @param onRun receives the id of the engine and the id of each request that it begins to run
     */
    ModelEngine(
            String id,
            String service,
            String zone,
            String ip,
            Set<String> models,
            Store store,
            BiConsumer<String, String> onOrder,
            BiConsumer<String, String> onRun)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.onOrder = onOrder;
        this.onRun = onRun;
        this.models.addAll(models);
        this.server = new Http.Server(ip, this::answer);
        Thread.ofVirtual().start(this::sendHeartbeats);
    }

    private void sendHeartbeats() {
        try {
            while (!gone) {
                register();
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void register() {
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"both\","
                        + "\"models\":" + modelList() + ",\"seq\":" + orderCount + ",\"born\":" + born + "}");
    }

    private String modelList() {
        return models.stream()
                .map(model -> "{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}")
                .collect(Collectors.joining(",", "[", "]"));
    }

    private byte[] answer(Http.Connection connection, Http.Message request) throws Exception {
        String expected = request.header("expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            return Http.response(421, Map.of("Instance-Id", id, "Not-Executed", "1"), new byte[0]);
        }
        return switch (request.path()) {
            case "/v1/report" -> report();
            case "/v1/order" -> order(new String(request.body(), StandardCharsets.UTF_8));
            default -> execute(request);
        };
    }

    private synchronized byte[] report() {
        return json(
                200,
                "{\"stage\":\"both\",\"models\":" + modelList() + ",\"busy\":" + busy + ",\"seq\":" + orderCount
                        + ",\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":165614,\"handles\":0,\"born\":" + born
                        + "}");
    }

    private synchronized byte[] order(String body) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (Matcher matcher = FIELD.matcher(body); matcher.find(); ) {
            fields.put(matcher.group(1), matcher.group(2));
        }
        long token = Long.parseLong(fields.get("fencingToken"));
        if (token < highestToken) {
            return json(412, "{}");
        }
        if (busy || fields.containsKey("expected") && Long.parseLong(fields.get("expected")) != orderCount) {
            return json(409, "{}");
        }
        highestToken = token;
        orderCount++;
        busy = true;
        onOrder.accept(id, body);
        boolean loads = fields.get("operation").equals("loading");
        Thread.ofVirtual().start(() -> finish(loads, fields.get("model")));
        return json(202, "{}");
    }

    private void finish(boolean loads, String model) {
        try {
            Thread.sleep(LOAD_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        synchronized (this) {
            busy = false;
            if (loads) {
                models.add(model);
            } else {
                models.remove(model);
            }
        }
        register();
    }

    private byte[] execute(Http.Message request) throws InterruptedException {
        synchronized (this) {
            if (!models.contains(request.header("model"))) {
                return Http.response(421, Map.of("Not-Executed", "1"), new byte[0]);
            }
        }
        onRun.accept(id, request.header("request-id"));
        Thread.sleep(30);
        StringBuilder events = new StringBuilder();
        for (int number = 1; number <= EVENTS; number++) {
            events.append("id: " + number + "\ndata: token\n\n");
        }
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Request-Id", request.header("request-id"));
        headers.put("Server-Seal", id + "." + request.header("request-id"));
        headers.put("Weight-Versions", "1");
        headers.put("Content-Type", "text/event-stream");
        return Http.response(200, headers, events.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] json(int status, String text) {
        return Http.response(
                status, Map.of("Content-Type", "application/json"), text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        gone = true;
        server.close();
    }
}
