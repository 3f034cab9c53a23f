package org.jackdawbeam.net.caller;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.HttpExchange;

/** Sends refusals as JSON responses, or as the last event if an event stream has started. */
public final class RefusalWriter {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final MessageMapper mapper;

    public RefusalWriter(MessageMapper mapper) {
        this.mapper = mapper;
    }

    /** Ends the exchange with a refusal and the default message of its code. */
    public void write(HttpExchange exchange, Refusal refusal) {
        write(exchange, refusal, defaultMessage(refusal.code()));
    }

    /** Ends the exchange with a refusal and a message that is more specific than the default one. */
    public void write(HttpExchange exchange, Refusal refusal, String message) {
        byte[] body = body(refusal, message);
        if (exchange.isStreaming()) {
            exchange.write(Unpooled.copiedBuffer(
                    "event: error\ndata: " + new String(body, StandardCharsets.UTF_8) + "\n\n",
                    StandardCharsets.UTF_8));
            exchange.closeAfterResponse();
            exchange.endStream();
            return;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        refusal.retryAfterMillis().ifPresent(millis -> headers.put("retry-after", retryAfterSeconds(millis)));
        exchange.respond(refusal.code().httpStatus(), "application/json", body, headers);
    }

    private byte[] body(Refusal refusal, String message) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("code", refusal.code().name());
        error.put("message", message);
        error.put("ran", refusal.ran().name().toLowerCase(Locale.ROOT));
        refusal.retryAfterMillis().ifPresent(millis -> error.put("retryAfterMs", millis));
        return mapper.write(Map.of("error", error));
    }

    private static String retryAfterSeconds(long millis) {
        return Long.toString(Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
    }

    private static String defaultMessage(RefusalCode code) {
        return switch (code) {
            case MALFORMED_REQUEST -> "the request is malformed";
            case KEY_MISSING -> "a workspace key is required";
            case KEY_UNKNOWN -> "the workspace key is not known";
            case KEY_WITHDRAWN -> "the workspace key has been withdrawn";
            case ROUTE_FORBIDDEN -> "the workspace may not use this route";
            case MODEL_UNKNOWN -> "the model is not known";
            case ROUTE_UNKNOWN -> "there is no such route";
            case REQUEST_TIMEOUT -> "the request did not arrive in time";
            case REQUEST_TOO_LARGE -> "the request is too large";
            case CALLER_LEFT -> "the caller has disconnected";
            case IDEMPOTENCY_KEY_REUSED -> "the idempotency key belongs to another request";
            case COST_EXCEEDS_BURST -> "the request costs more than the workspace's burst";
            case OVER_RATE -> "the workspace is over its rate";
            case QUEUE_FULL -> "too many requests are waiting";
            case NO_CAPACITY -> "no target can answer in time";
            case NOT_READY -> "no configuration is in force yet";
            case HOST_ISOLATED -> "this host has lost contact; use another one";
            case PLATFORM_LOG_UNAVAILABLE -> "the platform's log cannot be reached";
            case PROMPT_QUARANTINED -> "engines have crashed under a part of the prompt";
            case REQUEST_QUARANTINED -> "targets have crashed under the same request";
            case TARGET_FAILED -> "the target failed";
            case OUTCOME_UNKNOWN -> "a target may have executed the request";
            case DEADLINE_EXCEEDED -> "no target could answer before the deadline";
        };
    }
}
