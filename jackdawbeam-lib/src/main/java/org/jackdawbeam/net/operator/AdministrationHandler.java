package org.jackdawbeam.net.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.jackdawbeam.logic.configuration.ActiveBundle;
import org.jackdawbeam.logic.configuration.LoggedState;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.logic.entry.Event;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.bundle.KeySpecification;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.log.LogRecord;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.operator.OperatorAnswer;
import org.jackdawbeam.model.settings.EntryTimings;
import org.jackdawbeam.model.time.MonotonicClock;
import org.jackdawbeam.net.caller.KeyReader;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.entry.EventLoop;
import org.jackdawbeam.net.http.HttpExchange;
import org.jackdawbeam.net.http.HttpExchangeHandler;

/** HTTP handler of the administration API, which requires an operator key, and of the open monitoring pages. */
public final class AdministrationHandler implements HttpExchangeHandler {
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final String API = "/admin/v1/";
    private static final String KEYS = "keys/";
    private static final long ANSWER_TIMEOUT_MILLIS = 10_000;

    private final EventLoop loop;
    private final PendingOperatorRequests pendingRequests;
    private final MonotonicClock clock;
    private final EntryTimings timings;
    private final MessageMapper mapper;
    private final String operatorKeySha256;
    private final Supplier<byte[]> metrics;

    /** Request body of the {@code bundle roll} command. */
    public record SignedBundle(long basedOn, long version, String document, String signature) {}

    public AdministrationHandler(
            EventLoop loop,
            PendingOperatorRequests pendingRequests,
            MonotonicClock clock,
            EntryTimings timings,
            MessageMapper mapper,
            String operatorKeySha256,
            Supplier<byte[]> metrics) {
        this.loop = loop;
        this.pendingRequests = pendingRequests;
        this.clock = clock;
        this.timings = timings;
        this.mapper = mapper;
        this.operatorKeySha256 = operatorKeySha256;
        this.metrics = metrics;
    }

    @Override
    public void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/healthz" -> exchange.respond(200, TEXT, bytes("ok\n"), Map.of());
            case "/readyz" -> respondWithReadiness(exchange);
            case "/metrics" -> exchange.respond(200, TEXT, metrics.get(), Map.of());
            default -> handleOperator(exchange);
        }
    }

    private void respondWithReadiness(HttpExchange exchange) {
        List<String> obstacles = Readiness.obstacles(loop.state(), clock.nowMillis(), timings);
        int status = obstacles.isEmpty() ? 200 : 503;
        exchange.respond(status, JSON, mapper.write(Map.of("obstacles", obstacles)), Map.of());
    }

    private void handleOperator(HttpExchange exchange) {
        if (!exchange.path().startsWith(API)) {
            respondWithError(exchange, 404, "NOT_FOUND", "there is no such page");
            return;
        }
        if (!hasOperatorKey(exchange)) {
            respondWithError(exchange, 401, "OPERATOR_KEY_REQUIRED", "a valid operator key is required");
            return;
        }
        try {
            route(exchange, exchange.path().substring(API.length()));
        } catch (JackdawbeamException e) {
            respondWithError(exchange, 400, e.code().name(), e.getMessage());
        }
    }

    private boolean hasOperatorKey(HttpExchange exchange) {
        Optional<String> key = KeyReader.bearer(exchange.headers());
        String presented = KeyReader.sha256(bytes(key.orElse("")));
        return MessageDigest.isEqual(bytes(presented), bytes(operatorKeySha256));
    }

    private void route(HttpExchange exchange, String resource) {
        String call = exchange.method() + " " + resource;
        switch (call) {
            case "GET status" ->
                respondWithJson(exchange, 200, StatusReport.of(loop.state(), clock.nowMillis(), timings));
            case "GET bundle" -> respondWithBundle(exchange);
            case "POST bundles" -> rollBundle(exchange);
            case "GET keys" -> respondWithKeys(exchange);
            case "POST keys" -> addKey(exchange);
            case "POST members/forget" -> forgetMember(exchange);
            default -> routeKeyWithdrawal(exchange, resource);
        }
    }

    private void routeKeyWithdrawal(HttpExchange exchange, String resource) {
        boolean isWithdrawal = exchange.method().equals("DELETE") && resource.startsWith(KEYS);
        if (!isWithdrawal) {
            respondWithError(exchange, 404, "NOT_FOUND", "there is no such resource");
            return;
        }
        submit(exchange, new LogRecord.KeyWithdrawn(recordId(), resource.substring(KEYS.length())));
    }

    private void respondWithBundle(HttpExchange exchange) {
        Optional<ActiveBundle> active = loop.state().log().folded().activeBundle();
        if (active.isEmpty()) {
            respondWithJson(exchange, 200, Map.of("version", 0));
            return;
        }
        respondWithJson(
                exchange,
                200,
                Map.of(
                        "version", active.get().version(),
                        "document", active.get().record().document()));
    }

    private void rollBundle(HttpExchange exchange) {
        SignedBundle signed = mapper.read(exchange.body(), SignedBundle.class);
        boolean incomplete = signed.document() == null || signed.signature() == null;
        if (incomplete) {
            throw new JackdawbeamException(ErrorCode.MESSAGE_MALFORMED, "document and signature are required");
        }
        submit(
                exchange,
                new LogRecord.BundleRolled(
                        recordId(), signed.basedOn(), signed.version(), signed.document(), signed.signature()));
    }

    private void addKey(HttpExchange exchange) {
        KeySpecification key = mapper.read(exchange.body(), KeySpecification.class);
        boolean valid = key.id() != null
                && key.id().matches("[a-zA-Z0-9-]{1,64}")
                && key.sha256() != null
                && key.sha256().matches("[0-9a-f]{64}");
        if (!valid) {
            throw new JackdawbeamException(ErrorCode.MESSAGE_MALFORMED, "id and sha256 are required");
        }
        boolean known = loop.state()
                .log()
                .folded()
                .bundle()
                .flatMap(bundle -> bundle.workspace(key.workspace()))
                .isPresent();
        if (!known) {
            respondWithError(exchange, 404, "WORKSPACE_UNKNOWN", "there is no workspace " + key.workspace());
            return;
        }
        submit(exchange, new LogRecord.KeyGiven(recordId(), key));
    }

    private void respondWithKeys(HttpExchange exchange) {
        EntryState state = loop.state();
        LoggedState logged = state.log().folded();
        List<Map<String, Object>> keys = Stream.concat(
                        logged.bundle().map(Bundle::keys).stream().flatMap(List::stream),
                        logged.givenKeys().values().stream())
                .map(key -> Map.<String, Object>of(
                        "id",
                        key.id(),
                        "workspace",
                        key.workspace(),
                        "withdrawn",
                        logged.withdrawnKeyIds().contains(key.id())
                                || state.pendingWithdrawals().containsKey(key.id())))
                .toList();
        respondWithJson(exchange, 200, Map.of("keys", keys));
    }

    private void forgetMember(HttpExchange exchange) {
        JsonNode host = mapper.read(exchange.body(), JsonNode.class).path("hostId");
        List<Member> members = loop.state().membership().epoch().stream()
                .flatMap(epoch -> epoch.members().stream())
                .filter(member -> member.hostId().equals(host.asText()))
                .toList();
        if (members.isEmpty()) {
            respondWithError(exchange, 404, "MEMBER_UNKNOWN", "there is no member on host " + host.asText());
            return;
        }
        submit(exchange, new LogRecord.MembersForgotten(recordId(), members));
    }

    private void submit(HttpExchange exchange, LogRecord record) {
        CompletableFuture<OperatorAnswer> answer = new CompletableFuture<>();
        long id = pendingRequests.register(answer);
        answer.orTimeout(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((result, failure) -> respondWithOutcome(exchange, result, failure));
        loop.submit(new Event.OperatorRequested(clock.nowMillis(), id, record));
    }

    private void respondWithOutcome(HttpExchange exchange, OperatorAnswer result, Throwable failure) {
        if (failure != null) {
            respondWithError(
                    exchange,
                    504,
                    "NOT_CONFIRMED",
                    "the log has not confirmed the change; it may still take effect, look again with GET");
            return;
        }
        switch (result) {
            case OperatorAnswer.Applied applied ->
                respondWithJson(exchange, 200, Map.of("result", "applied", "version", applied.version()));
            case OperatorAnswer.AppliedHere here ->
                respondWithJson(exchange, 202, Map.of("result", "applied", "note", "passed on to all entries"));
            case OperatorAnswer.Conflict conflict ->
                respondWithError(
                        exchange,
                        409,
                        "CONFLICT",
                        "another change came first; version " + conflict.version() + " is in force");
            case OperatorAnswer.BadSignature bad ->
                respondWithError(exchange, 403, "SIGNATURE_INVALID", "the bundle was not signed off by the operators");
        }
    }

    private void respondWithJson(HttpExchange exchange, int status, Object value) {
        exchange.respond(status, JSON, mapper.write(value), Map.of());
    }

    private void respondWithError(HttpExchange exchange, int status, String code, String message) {
        respondWithJson(exchange, status, Map.of("error", Map.of("code", code, "message", message)));
    }

    private static String recordId() {
        return "operator/" + UUID.randomUUID();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
