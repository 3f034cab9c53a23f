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

/** The administration API, with operator keys, and the pages for monitoring, without. */
public final class AdministrationEdge implements HttpExchangeHandler {
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final String API = "/admin/v1/";
    private static final String KEYS = "keys/";
    private static final long ANSWER_TIMEOUT_MILLIS = 10_000;

    private final EventLoop loop;
    private final OperatorCalls calls;
    private final MonotonicClock clock;
    private final EntryTimings timings;
    private final MessageMapper mapper;
    private final String operatorKeySha256;
    private final Supplier<byte[]> metrics;

    /** A bundle as {@code bundle roll} sends it. */
    public record SignedBundle(long basedOn, long version, String document, String signature) {}

    public AdministrationEdge(
            EventLoop loop,
            OperatorCalls calls,
            MonotonicClock clock,
            EntryTimings timings,
            MessageMapper mapper,
            String operatorKeySha256,
            Supplier<byte[]> metrics) {
        this.loop = loop;
        this.calls = calls;
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
            case "/readyz" -> answerReadiness(exchange);
            case "/metrics" -> exchange.respond(200, TEXT, metrics.get(), Map.of());
            default -> handleOperator(exchange);
        }
    }

    private void answerReadiness(HttpExchange exchange) {
        List<String> obstacles = Readiness.obstacles(loop.state(), clock.nowMillis(), timings);
        int status = obstacles.isEmpty() ? 200 : 503;
        exchange.respond(status, JSON, mapper.write(Map.of("obstacles", obstacles)), Map.of());
    }

    private void handleOperator(HttpExchange exchange) {
        if (!exchange.path().startsWith(API)) {
            answerError(exchange, 404, "NOT_FOUND", "there is no such page");
            return;
        }
        if (!isOperator(exchange)) {
            answerError(exchange, 401, "OPERATOR_KEY_REQUIRED", "a valid operator key is required");
            return;
        }
        try {
            route(exchange, exchange.path().substring(API.length()));
        } catch (JackdawbeamException e) {
            answerError(exchange, 400, e.code().name(), e.getMessage());
        }
    }

    private boolean isOperator(HttpExchange exchange) {
        Optional<String> key = KeyReader.bearer(exchange.headers());
        String presented = KeyReader.sha256(bytes(key.orElse("")));
        return MessageDigest.isEqual(bytes(presented), bytes(operatorKeySha256));
    }

    private void route(HttpExchange exchange, String resource) {
        String call = exchange.method() + " " + resource;
        switch (call) {
            case "GET status" -> answer(exchange, 200, StatusReport.of(loop.state(), clock.nowMillis(), timings));
            case "GET bundle" -> answerBundle(exchange);
            case "POST bundles" -> rollBundle(exchange);
            case "GET keys" -> answerKeys(exchange);
            case "POST keys" -> giveKey(exchange);
            case "POST members/forget" -> forgetMember(exchange);
            default -> routeKey(exchange, resource);
        }
    }

    private void routeKey(HttpExchange exchange, String resource) {
        boolean withdraws = exchange.method().equals("DELETE") && resource.startsWith(KEYS);
        if (!withdraws) {
            answerError(exchange, 404, "NOT_FOUND", "there is no such resource");
            return;
        }
        submit(exchange, new LogRecord.KeyWithdrawn(recordId(), resource.substring(KEYS.length())));
    }

    private void answerBundle(HttpExchange exchange) {
        Optional<ActiveBundle> inForce = loop.state().log().folded().activeBundle();
        if (inForce.isEmpty()) {
            answer(exchange, 200, Map.of("version", 0));
            return;
        }
        answer(
                exchange,
                200,
                Map.of(
                        "version", inForce.get().version(),
                        "document", inForce.get().record().document()));
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

    private void giveKey(HttpExchange exchange) {
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
            answerError(exchange, 404, "WORKSPACE_UNKNOWN", "there is no workspace " + key.workspace());
            return;
        }
        submit(exchange, new LogRecord.KeyGiven(recordId(), key));
    }

    private void answerKeys(HttpExchange exchange) {
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
        answer(exchange, 200, Map.of("keys", keys));
    }

    private void forgetMember(HttpExchange exchange) {
        JsonNode host = mapper.read(exchange.body(), JsonNode.class).path("hostId");
        List<Member> members = loop.state().membership().epoch().stream()
                .flatMap(epoch -> epoch.members().stream())
                .filter(member -> member.hostId().equals(host.asText()))
                .toList();
        if (members.isEmpty()) {
            answerError(exchange, 404, "MEMBER_UNKNOWN", "there is no member on host " + host.asText());
            return;
        }
        submit(exchange, new LogRecord.MembersForgotten(recordId(), members));
    }

    private void submit(HttpExchange exchange, LogRecord record) {
        CompletableFuture<OperatorAnswer> answer = new CompletableFuture<>();
        long id = calls.begin(answer);
        answer.orTimeout(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((result, failure) -> answerOutcome(exchange, result, failure));
        loop.submit(new Event.OperatorRequested(clock.nowMillis(), id, record));
    }

    private void answerOutcome(HttpExchange exchange, OperatorAnswer result, Throwable failure) {
        if (failure != null) {
            answerError(
                    exchange,
                    504,
                    "NOT_CONFIRMED",
                    "the log has not confirmed the change; it may still take effect, look again with GET");
            return;
        }
        switch (result) {
            case OperatorAnswer.Applied applied ->
                answer(exchange, 200, Map.of("result", "applied", "version", applied.version()));
            case OperatorAnswer.AppliedHere here ->
                answer(exchange, 202, Map.of("result", "applied", "note", "passed on to all entries"));
            case OperatorAnswer.Conflict conflict ->
                answerError(
                        exchange,
                        409,
                        "CONFLICT",
                        "another change came first; version " + conflict.version() + " is in force");
            case OperatorAnswer.BadSignature bad ->
                answerError(exchange, 403, "SIGNATURE_INVALID", "the bundle was not signed off by the operators");
        }
    }

    private void answer(HttpExchange exchange, int status, Object value) {
        exchange.respond(status, JSON, mapper.write(value), Map.of());
    }

    private void answerError(HttpExchange exchange, int status, String code, String message) {
        answer(exchange, status, Map.of("error", Map.of("code", code, "message", message)));
    }

    private static String recordId() {
        return "operator/" + UUID.randomUUID();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
