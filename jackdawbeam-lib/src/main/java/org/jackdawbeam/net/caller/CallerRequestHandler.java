package org.jackdawbeam.net.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.opentelemetry.api.trace.Span;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.logic.entry.Event;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.Call;
import org.jackdawbeam.model.settings.EntryTimings;
import org.jackdawbeam.model.time.MonotonicClock;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.entry.EventLoop;
import org.jackdawbeam.net.http.HttpExchange;
import org.jackdawbeam.net.http.HttpExchangeHandler;
import org.jackdawbeam.net.trace.Tracing;

/** HTTP handler of the caller API: validates requests and submits them to the reducer as events. */
public final class CallerRequestHandler implements HttpExchangeHandler {
    private static final String SERVICES_PREFIX = "/services/";
    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final int MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 255;
    private static final List<String> FORWARDED_HEADERS =
            List.of("content-type", "accept", "accept-language", IDEMPOTENCY_KEY);

    private final EventLoop loop;
    private final OpenRequests requests;
    private final MonotonicClock clock;
    private final EntryTimings timings;
    private final MessageMapper mapper;
    private final CompletionReader completions;
    private final RefusalWriter refusals;
    private final EntryDirectory directory;
    private final Tracing tracing;
    private final AtomicLong nextId = new AtomicLong(1);

    public CallerRequestHandler(
            EventLoop loop,
            OpenRequests requests,
            MonotonicClock clock,
            EntryTimings timings,
            MessageMapper mapper,
            Tracing tracing) {
        this.loop = loop;
        this.requests = requests;
        this.clock = clock;
        this.timings = timings;
        this.mapper = mapper;
        this.completions = new CompletionReader(mapper.objectMapper());
        this.refusals = new RefusalWriter(mapper);
        this.directory = new EntryDirectory(timings);
        this.tracing = tracing;
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (!loop.state().isServing()) {
            exchange.closeAfterResponse();
        }
        try {
            route(exchange);
        } catch (JackdawbeamException e) {
            refusals.write(exchange, Refusal.notRun(RefusalCode.MALFORMED_REQUEST), e.getMessage());
        }
    }

    private void route(HttpExchange exchange) {
        String call = exchange.method() + " " + exchange.path();
        switch (call) {
            case "GET /v1/entries" -> respondWithEntries(exchange);
            case "GET /v1/models" -> submit(exchange, Optional.empty(), new Call.ModelsCall());
            case "POST /v1/chat/completions" -> submitCompletion(exchange, true);
            case "POST /v1/completions" -> submitCompletion(exchange, false);
            default -> submitServiceCall(exchange);
        }
    }

    private void submitServiceCall(HttpExchange exchange) {
        if (!exchange.path().startsWith(SERVICES_PREFIX)) {
            refusals.write(exchange, Refusal.notRun(RefusalCode.ROUTE_UNKNOWN));
            return;
        }
        if (exchange.path().contains("/../") || exchange.path().contains("//")) {
            refusals.write(
                    exchange, Refusal.notRun(RefusalCode.MALFORMED_REQUEST), "the path must not contain .. or //");
            return;
        }
        Optional<String> key = Optional.ofNullable(exchange.headers().get(IDEMPOTENCY_KEY));
        if (key.isPresent() && (key.get().isEmpty() || key.get().length() > MAXIMUM_IDEMPOTENCY_KEY_LENGTH)) {
            refusals.write(
                    exchange,
                    Refusal.notRun(RefusalCode.MALFORMED_REQUEST),
                    "Idempotency-Key must have 1 to " + MAXIMUM_IDEMPOTENCY_KEY_LENGTH + " characters");
            return;
        }
        String digest = KeyReader.sha256(
                exchange.method().getBytes(StandardCharsets.UTF_8),
                exchange.uri().getBytes(StandardCharsets.UTF_8),
                exchange.body());
        String path = exchange.path().substring(SERVICES_PREFIX.length());
        submit(exchange, Optional.empty(), new Call.ServiceCall(path, key, digest));
    }

    private void submitCompletion(HttpExchange exchange, boolean chat) {
        ObjectNode body = completions.parse(exchange.body());
        Call call = completions.read(body, chat);
        submit(exchange, Optional.of(body), call);
    }

    private void submit(HttpExchange exchange, Optional<ObjectNode> completion, Call call) {
        Optional<String> key = KeyReader.bearer(exchange.headers());
        if (key.isPresent() && containsWorkspaceKey(exchange, key.get())) {
            refusals.write(
                    exchange,
                    Refusal.notRun(RefusalCode.MALFORMED_REQUEST),
                    "the workspace key must not be part of the path or body");
            return;
        }
        long id = nextId.getAndIncrement();
        Span span = tracing.startServerSpan(exchange.method() + " " + spanPath(call), exchange.headers());
        OpenRequest request = new OpenRequest(id, exchange, completion, forwardedHeaders(exchange), span);
        requests.add(request);
        exchange.onClientDisconnect(() -> loop.submit(new Event.CallerLeft(clock.nowMillis(), id)));
        loop.submit(new Event.RequestArrived(clock.nowMillis(), id, key.map(KeyReader::credential), call));
    }

    private static boolean containsWorkspaceKey(HttpExchange exchange, String key) {
        boolean inPath = exchange.uri().contains(key);
        return !key.isEmpty() && (inPath || new String(exchange.body(), StandardCharsets.UTF_8).contains(key));
    }

    private static String spanPath(Call call) {
        return switch (call) {
            case Call.CompletionCall completion -> "completion";
            case Call.ServiceCall service -> "service";
            case Call.ModelsCall models -> "models";
        };
    }

    private static HttpHeaders forwardedHeaders(HttpExchange exchange) {
        HttpHeaders forwarded = new DefaultHttpHeaders();
        for (String name : FORWARDED_HEADERS) {
            String value = exchange.headers().get(name);
            if (value != null) {
                forwarded.set(name, value);
            }
        }
        return forwarded;
    }

    private void respondWithEntries(HttpExchange exchange) {
        EntryState state = loop.state();
        List<String> zones = new QueryStringDecoder(exchange.uri()).parameters().getOrDefault("zone", List.of());
        Optional<String> zone = zones.stream().findFirst();
        List<EntryDirectory.Address> entries = directory.rank(state, zone, clock.nowMillis());
        long maximumAgeSeconds = Math.max(1, timings.entriesMaximumAgeMillis() / 1_000);
        byte[] body = mapper.write(Map.of("entries", entries, "maxAgeSeconds", maximumAgeSeconds));
        exchange.respond(
                200,
                "application/json",
                body,
                Map.of(HttpHeaderNames.CACHE_CONTROL.toString(), "max-age=" + maximumAgeSeconds));
    }
}
