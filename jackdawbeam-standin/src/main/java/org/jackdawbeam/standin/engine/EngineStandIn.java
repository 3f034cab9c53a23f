package org.jackdawbeam.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.target.EngineLoad;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.BufferedHttpClient;
import org.jackdawbeam.net.http.HttpExchange;
import org.jackdawbeam.net.http.HttpExchangeHandler;

/**
 * Emulates a model engine: OpenAI completions with continuous batching, resumption and cancellation; delayed load
 * reports; cache events, of which some are omitted; orders. All state is confined to one thread.
 */
public final class EngineStandIn implements HttpExchangeHandler, AutoCloseable {
    private static final String JSON = "application/json";
    private static final int MAXIMUM_RECORDED_REQUESTS = 256;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int BYTES_PER_TOKEN = 4;

    private final MessageMapper mapper = MessageMapper.json();
    private final String engineRun;
    private final BatchSimulation batch;
    private final EngineMemory memory;
    private final OrderExecutor orders;
    private final Random random;
    private final long reportLagMillis;
    private final Map<Long, ActiveRequest> running = new HashMap<>();
    private final Deque<Map<String, String>> seenHeaders = new ArrayDeque<>();
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon(true).factory());
    private EngineFaults faults = EngineFaults.none();
    private EngineLoad lastReport;
    private long lastReportMillis;
    private boolean stepping;
    private long nextId = 1;

    private static final class ActiveRequest {
        private final HttpExchange exchange;
        private final String model;
        private final int promptHash;
        private final int promptTokens;
        private final int total;
        private final boolean streamed;
        private final boolean chat;
        private int position;

        ActiveRequest(HttpExchange exchange, JsonNode body, String promptText, boolean chat) {
            this.exchange = exchange;
            this.model = body.path("model").asText();
            this.promptHash = promptText.hashCode();
            this.promptTokens = Math.max(1, promptText.length() / BYTES_PER_TOKEN);
            this.total = body.path("max_tokens").asInt(64);
            this.position = body.path("resume_offset").asInt(0);
            this.streamed = body.path("stream").asBoolean(false);
            this.chat = chat;
        }
    }

    /**
     * Creates an emulated engine.
     *
     * @param checksFencing whether orders with an outdated fencing token are rejected
     * @param reportLagMillis maximum age of a load report
     */
    public EngineStandIn(
            EngineProfile profile,
            boolean checksFencing,
            long reportLagMillis,
            BufferedHttpClient storeClient,
            InetSocketAddress store,
            long seed) {
        this.engineRun = Long.toHexString(System.nanoTime());
        this.batch = new BatchSimulation(profile);
        this.memory = new EngineMemory(profile);
        this.reportLagMillis = reportLagMillis;
        this.random = new Random(seed);
        this.orders = new OrderExecutor(checksFencing, memory, batch, profile, storeClient, store, executor);
    }

    @Override
    public void handle(HttpExchange exchange) {
        executor.execute(() -> route(exchange));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void route(HttpExchange exchange) {
        try {
            switch (exchange.method() + " " + exchange.path()) {
                case "POST /v1/chat/completions" -> complete(exchange, true);
                case "POST /v1/completions" -> complete(exchange, false);
                case "GET /load" -> answerLoad(exchange);
                case "POST /orders" -> executeOrder(exchange);
                case "GET /seen" ->
                    respond(exchange, 200, Map.of("headers", seenHeaders, "overcommitted", memory.overcommitted()));
                case "POST /faults" -> {
                    faults = mapper.read(exchange.body(), EngineFaults.class);
                    respond(exchange, 200, Map.of("faults", faults));
                }
                default -> respond(exchange, 404, Map.of("error", "no such resource"));
            }
        } catch (JackdawbeamException e) {
            respond(exchange, 400, Map.of("error", e.getMessage()));
        }
    }

    private void complete(HttpExchange exchange, boolean chat) {
        JsonNode body = mapper.read(exchange.body(), JsonNode.class);
        recordHeaders(exchange, body);
        String model = body.path("model").asText();
        if (!memory.holds(model) || orders.isUnloading(model)) {
            respond(exchange, 404, Map.of("error", "model is not resident"));
            return;
        }
        if (faults.leaving()) {
            respond(exchange, 503, Map.of("error", "leaving"));
            return;
        }
        String prompt =
                chat ? body.path("messages").toString() : body.path("prompt").asText();
        ActiveRequest request = new ActiveRequest(exchange, body, prompt, chat);
        long id = nextId++;
        exchange.onClientDisconnect(() -> executor.execute(() -> cancel(id)));
        if (faults.silent()) {
            return;
        }
        running.put(id, request);
        int left = Math.max(1, request.total - request.position);
        batch.add(new BatchRequest(
                id, model, request.promptTokens + request.position, PromptBlocks.hashes(prompt), left, 0));
        startStepping();
    }

    private void cancel(long id) {
        running.remove(id);
        batch.cancel(id);
    }

    private void startStepping() {
        if (!stepping) {
            stepping = true;
            step();
        }
    }

    private void step() {
        if (batch.isIdle()) {
            stepping = false;
            return;
        }
        BatchSimulation.Step done = batch.step();
        executor.schedule(() -> deliver(done), (long) (done.millis() * NANOS_PER_MILLI), TimeUnit.NANOSECONDS);
    }

    private void deliver(BatchSimulation.Step done) {
        done.tokens().forEach(this::deliverToken);
        done.finished().forEach(this::finish);
        step();
    }

    private void deliverToken(long id) {
        ActiveRequest request = running.get(id);
        if (request == null) {
            return;
        }
        if (request.streamed) {
            if (!request.exchange.isStreaming()) {
                request.exchange.startStream(Map.of());
            }
            writeEvent(request.exchange, mapper.write(chunk(request)));
        }
        request.position++;
        boolean breaks = faults.breakAfterTokens() > 0 && request.position == faults.breakAfterTokens();
        if (breaks) {
            request.exchange.abort();
            cancel(id);
        }
    }

    private Map<String, Object> chunk(ActiveRequest request) {
        String text = TokenText.at(request.promptHash, request.position);
        Object choice =
                request.chat ? Map.of("index", 0, "delta", Map.of("content", text)) : Map.of("index", 0, "text", text);
        return Map.of("object", "chunk", "model", request.model, "choices", List.of(choice));
    }

    private void finish(long id) {
        ActiveRequest request = running.remove(id);
        if (request == null) {
            return;
        }
        if (request.streamed) {
            request.exchange.write(Unpooled.copiedBuffer("data: [DONE]\n\n", StandardCharsets.US_ASCII));
            request.exchange.endStream();
            return;
        }
        String text = TokenText.answer(request.promptHash, request.total);
        Object choice = request.chat
                ? Map.of("index", 0, "message", Map.of("role", "assistant", "content", text))
                : Map.of("index", 0, "text", text);
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("object", request.chat ? "chat.completion" : "text_completion");
        answer.put("model", request.model);
        answer.put("choices", List.of(choice));
        answer.put("usage", Map.of("prompt_tokens", request.promptTokens, "completion_tokens", request.total));
        respond(request.exchange, 200, answer);
    }

    private void answerLoad(HttpExchange exchange) {
        long now = System.nanoTime() / 1_000_000;
        if (lastReport == null || now - lastReportMillis >= reportLagMillis) {
            lastReport = currentLoad();
            lastReportMillis = now;
        }
        respond(
                exchange,
                200,
                Map.of(
                        "load", lastReport,
                        "cacheAdded", omitRandomly(batch.takeCacheAdded()),
                        "cacheDropped", omitRandomly(batch.takeCacheDropped())));
    }

    private EngineLoad currentLoad() {
        return new EngineLoad(
                engineRun,
                batch.running(),
                batch.queued(),
                batch.queuedTokens(),
                memory.residentBytes(),
                memory.models(),
                memory.adapters(),
                orders.highestFencing(),
                faults.leaving());
    }

    private List<Long> omitRandomly(List<Long> hashes) {
        List<Long> announced = new ArrayList<>();
        for (Long hash : hashes) {
            if (random.nextDouble() >= faults.cacheEventGaps()) {
                announced.add(hash);
            }
        }
        return announced;
    }

    private void executeOrder(HttpExchange exchange) {
        JsonNode order = mapper.read(exchange.body(), JsonNode.class);
        if (random.nextDouble() < faults.lostOrders()) {
            return;
        }
        boolean answerLost = random.nextDouble() < faults.lostOrderAnswers();
        executor.schedule(
                () -> orders.execute(order, status -> {
                    lastReport = null;
                    if (!answerLost) {
                        respond(exchange, status, Map.of("engineRun", engineRun));
                    }
                }),
                faults.orderDelayMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void recordHeaders(HttpExchange exchange, JsonNode body) {
        Map<String, String> headers = new LinkedHashMap<>();
        exchange.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
        headers.put(":uri", exchange.uri());
        headers.put(":fields", String.join(",", fieldNames(body)));
        seenHeaders.addLast(headers);
        if (seenHeaders.size() > MAXIMUM_RECORDED_REQUESTS) {
            seenHeaders.removeFirst();
        }
    }

    private static List<String> fieldNames(JsonNode body) {
        List<String> names = new ArrayList<>();
        body.fieldNames().forEachRemaining(names::add);
        return names;
    }

    private static void writeEvent(HttpExchange exchange, byte[] json) {
        byte[] prefix = "data: ".getBytes(StandardCharsets.US_ASCII);
        byte[] end = "\n\n".getBytes(StandardCharsets.US_ASCII);
        exchange.write(Unpooled.wrappedBuffer(prefix, json, end));
    }

    private void respond(HttpExchange exchange, int status, Object value) {
        exchange.respond(status, JSON, mapper.write(value), Map.of());
    }
}
