package org.jackdawbeam.standin.fleet;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.HttpExchange;
import org.jackdawbeam.net.http.HttpExchangeHandler;

/** Emulates an engine or a plain service with the platform's protocol. Methods run on the threads of its server. */
public final class TargetStandIn implements HttpExchangeHandler {
    private static final long LOAD_MILLIS = 300;
    private static final long EVENT_INTERVAL_MILLIS = 15;
    /** Number of events in a complete stream. */
    public static final int EVENTS = 6;

    private static final long SERVICE_MILLIS = 10;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final Map<String, String> NO_HEADERS = Map.of();

    private final String id;
    private final String service;
    private final String zone;
    private final boolean engine;
    private final TargetLedger ledger;
    private final EventLoopGroup timers;
    private final MessageMapper json = MessageMapper.json();
    private final long startedAtMillis = System.currentTimeMillis();
    private final Map<String, Set<String>> adaptersByModel = new TreeMap<>();
    private long orderCount;
    private boolean busy;
    private boolean draining;
    private boolean leavingAnnounced;
    private long rejectsUntilNanos;
    private long highestFencingToken;
    private int running;
    private volatile Optional<PromptCrash> promptCrash = Optional.empty();

    private record PromptCrash(String part, Runnable crash) {}

    public TargetStandIn(
            String id,
            String service,
            String zone,
            Set<String> models,
            boolean engine,
            TargetLedger ledger,
            EventLoopGroup timers) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.engine = engine;
        this.ledger = ledger;
        this.timers = timers;
        models.forEach(model -> adaptersByModel.put(model, new HashSet<>()));
    }

    /** Returns a restarted target with a new id, the given models and no record of earlier orders. */
    TargetStandIn restarted(Set<String> models) {
        return new TargetStandIn(id + "x", service, zone, models, engine, ledger, timers);
    }

    /** Returns the instance id, which changes with each restart. */
    public String id() {
        return id;
    }

    /** Announces in the store and with each response that the target is leaving. */
    public synchronized void drain() {
        draining = true;
        announceLeaving();
    }

    /** Announces with each response, but not in the store, that the target is leaving. */
    public synchronized void announceLeaving() {
        leavingAnnounced = true;
        ledger.recordLeaving(id);
    }

    /** Rejects requests for the given time, with a Retry-After header. */
    public synchronized void rejectRequests(long millis) {
        rejectsUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Runs an action instead of answering a request whose prompt has the part before its last one. */
    void crashAt(String part, Runnable crash) {
        promptCrash = Optional.of(new PromptCrash(part, crash));
    }

    /** Answers all prompts again. */
    void crashAtNothing() {
        promptCrash = Optional.empty();
    }

    private boolean crashes(HttpHeaders request) {
        String prompt = request.get("Prompt-Prefix", "");
        int last = prompt.lastIndexOf(',');
        return last > 0
                && promptCrash
                        .filter(crash -> Arrays.asList(prompt.substring(0, last).split("[,:]"))
                                .contains(crash.part()))
                        .isPresent();
    }

    private synchronized OptionalLong rejectionMillisLeft() {
        long left = TimeUnit.NANOSECONDS.toMillis(rejectsUntilNanos - System.nanoTime());
        return rejectsUntilNanos != 0 && left > 0 ? OptionalLong.of(left) : OptionalLong.empty();
    }

    private synchronized boolean leavingAnnounced() {
        return leavingAnnounced;
    }

    /** Returns the record with which the target registers in the store. */
    public synchronized byte[] registration(String address) {
        Map<String, Object> registration = new LinkedHashMap<>();
        registration.put("service", service);
        registration.put("address", address);
        registration.put("zone", zone);
        registration.put("version", "v1");
        registration.put("slots", 64);
        registration.put("state", draining ? "draining" : "ready");
        registration.put("coldLeftMs", 0);
        registration.put("models", models());
        registration.put("seq", orderCount);
        registration.put("born", startedAtMillis);
        return json.write(registration);
    }

    @Override
    public void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/v1/report" -> exchange.respond(200, "application/json", report(), NO_HEADERS);
            case "/v1/order" -> executeOrder(exchange);
            default -> execute(exchange);
        }
    }

    private synchronized byte[] report() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("stage", "both");
        report.put("models", models());
        report.put("busy", busy);
        report.put("seq", orderCount);
        report.put("queued", 0);
        report.put("running", running);
        report.put("born", startedAtMillis);
        return json.write(report);
    }

    private synchronized List<Map<String, Object>> models() {
        List<Map<String, Object>> models = new ArrayList<>();
        adaptersByModel.forEach(
                (name, adapters) -> models.add(Map.of("name", name, "version", 1, "adapters", List.copyOf(adapters))));
        return models;
    }

    private synchronized void executeOrder(HttpExchange exchange) {
        Map<?, ?> order = json.read(exchange.body(), Map.class);
        long token = ((Number) order.get("fencingToken")).longValue();
        if (!id.equals(exchange.headers().get("Expect-Instance", id))) {
            respond(exchange, 421);
        } else if (token < highestFencingToken) {
            respond(exchange, 412);
        } else if (busy || ((Number) order.get("expected")).longValue() != orderCount) {
            respond(exchange, 409);
        } else {
            highestFencingToken = token;
            orderCount++;
            ledger.recordOrder(id, token, (String) order.get("holder"));
            apply(exchange, order.get("operation").equals("loading"), (String) order.get("model"), (String)
                    order.get("adapter"));
        }
    }

    private void apply(HttpExchange exchange, boolean loads, String model, String adapter) {
        if (adapter != null) {
            Set<String> adapters = adaptersByModel.getOrDefault(model, new HashSet<>());
            boolean changed = loads ? adapters.add(adapter) : adapters.remove(adapter);
            respond(exchange, loads && changed ? 202 : 200);
            return;
        }
        busy = true;
        timers.schedule(() -> finish(loads, model), LOAD_MILLIS, TimeUnit.MILLISECONDS);
        respond(exchange, 202);
    }

    private synchronized void finish(boolean loads, String model) {
        busy = false;
        if (loads) {
            adaptersByModel.putIfAbsent(model, new HashSet<>());
        } else {
            adaptersByModel.remove(model);
        }
    }

    private void execute(HttpExchange exchange) {
        HttpHeaders request = exchange.headers();
        if (request.contains("Api-Key")) {
            ledger.recordKey(request.get("Api-Key"));
        }
        String model = request.get("Model", "");
        if (!id.equals(request.get("Expect-Instance", id)) || engine && !holds(model)) {
            exchange.respond(421, "text/plain", new byte[0], Map.of("Not-Executed", "1", "Instance-Id", id));
            return;
        }
        OptionalLong rejectionMillis = rejectionMillisLeft();
        if (rejectionMillis.isPresent()) {
            String seconds = Double.toString(rejectionMillis.getAsLong() / MILLIS_PER_SECOND);
            ledger.recordRejection(id);
            exchange.respond(503, "text/plain", new byte[0], Map.of("Not-Executed", "1", "Retry-After", seconds));
            return;
        }
        String requestId = request.get("Request-Id", "");
        ledger.recordExecution(requestId, id, request.get("Tenant", ""));
        if (engine && crashes(request)) {
            promptCrash.ifPresent(crash -> timers.execute(crash.crash()));
            return;
        }
        HttpHeaders answer = new DefaultHttpHeaders();
        answer.set("Request-Id", requestId);
        answer.set("Server-Seal", id + "." + requestId);
        answer.set("Instance-Load", changeRunning(1) + ",0,64");
        if (leavingAnnounced()) {
            answer.set("Server-Leaving", "1");
        }
        if (!engine) {
            byte[] body = ("done " + requestId).getBytes(StandardCharsets.UTF_8);
            answer.set("content-length", body.length);
            timers.schedule(() -> answer(exchange, answer, body), SERVICE_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        answer.set("content-type", "text/event-stream");
        int from = Integer.parseInt(request.get("Last-Event-Id", "0"));
        exchange.startResponse(200, answer);
        sendEvent(exchange, from + 1);
    }

    private void answer(HttpExchange exchange, HttpHeaders headers, byte[] body) {
        exchange.startResponse(200, headers);
        exchange.write(Unpooled.wrappedBuffer(body));
        exchange.endStream();
        changeRunning(-1);
    }

    private void sendEvent(HttpExchange exchange, int number) {
        String event = "id: " + number + "\ndata: token " + number + "\n\n";
        exchange.write(Unpooled.copiedBuffer(event, StandardCharsets.UTF_8));
        if (number >= EVENTS) {
            exchange.endStream();
            changeRunning(-1);
            return;
        }
        timers.schedule(() -> sendEvent(exchange, number + 1), EVENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    synchronized Set<String> modelNames() {
        return Set.copyOf(adaptersByModel.keySet());
    }

    private synchronized boolean holds(String model) {
        int slash = model.indexOf('/');
        String base = slash < 0 ? model : model.substring(0, slash);
        Set<String> adapters = adaptersByModel.get(base);
        return adapters != null && (slash < 0 || adapters.contains(model.substring(slash + 1)));
    }

    private synchronized int changeRunning(int change) {
        running += change;
        return running;
    }

    private static void respond(HttpExchange exchange, int status) {
        exchange.respond(status, "application/json", new byte[] {'{', '}'}, NO_HEADERS);
    }
}
