package org.jackdawbeam.net.target;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jackdawbeam.logic.entry.Effect.SendOrder;
import org.jackdawbeam.logic.entry.OrderOutcome;
import org.jackdawbeam.model.bundle.TargetSpecification;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.target.EngineLoad;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.http.BufferedHttpClient;
import org.jackdawbeam.net.http.BufferedHttpResponse;

/** Control traffic with model engines: load reports, cache events, and orders. */
public final class EngineControl {
    private static final long LOAD_TIMEOUT_MILLIS = 1_000;
    private static final byte[] NO_BODY = new byte[0];
    private static final Map<String, String> JSON = Map.of("content-type", "application/json");
    private static final int HTTP_CONFLICT = 409;
    private static final int HTTP_INSUFFICIENT_STORAGE = 507;

    private final BufferedHttpClient caller;
    private final MessageMapper mapper;
    private final long orderAnswerMillis;

    /** A load report together with the cache events since the previous one. */
    public record Report(EngineLoad load, List<Long> added, List<Long> dropped) {}

    /** Answer to an order. */
    public record OrderAnswer(OrderOutcome outcome, String engineRun) {}

    public EngineControl(BufferedHttpClient caller, MessageMapper mapper, long orderAnswerMillis) {
        this.caller = caller;
        this.mapper = mapper;
        this.orderAnswerMillis = orderAnswerMillis;
    }

    /** Asks for the load report. */
    public CompletableFuture<Report> load(TargetSpecification target) {
        return caller.send(
                        TargetAddress.parse(target.address()), "GET", "/load", Map.of(), NO_BODY, LOAD_TIMEOUT_MILLIS)
                .thenApply(this::report);
    }

    /** Sends an order; the future never fails. */
    public CompletableFuture<OrderAnswer> order(SendOrder order) {
        byte[] body = mapper.write(Map.of(
                "orderId", order.order().recordId(),
                "fencing", order.fencing(),
                "maximumLifeMillis", order.order().maximumLifeMillis(),
                "items", order.order().items()));
        return caller.send(
                        TargetAddress.parse(order.target().address()), "POST", "/orders", JSON, body, orderAnswerMillis)
                .thenApply(this::orderAnswer)
                .exceptionally(failure -> new OrderAnswer(OrderOutcome.UNKNOWN, ""));
    }

    private OrderAnswer orderAnswer(BufferedHttpResponse answer) {
        boolean refused = answer.status() == HTTP_CONFLICT || answer.status() == HTTP_INSUFFICIENT_STORAGE;
        if (!answer.isSuccess() && !refused) {
            return new OrderAnswer(OrderOutcome.UNKNOWN, "");
        }
        String engineRun = read(answer).path("engineRun").asText();
        return new OrderAnswer(refused ? OrderOutcome.REFUSED : OrderOutcome.DONE, engineRun);
    }

    private Report report(BufferedHttpResponse answer) {
        if (!answer.isSuccess()) {
            throw new JackdawbeamException(ErrorCode.CONNECTION_FAILED, "no load report: " + answer.status());
        }
        JsonNode tree = read(answer);
        try {
            EngineLoad load = mapper.objectMapper().treeToValue(tree.path("load"), EngineLoad.class);
            return new Report(load, numbers(tree.path("cacheAdded")), numbers(tree.path("cacheDropped")));
        } catch (IOException | NullPointerException e) {
            throw new JackdawbeamException(ErrorCode.MESSAGE_MALFORMED, "not a load report", e);
        }
    }

    private JsonNode read(BufferedHttpResponse answer) {
        try {
            return mapper.objectMapper().readTree(answer.body());
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.MESSAGE_MALFORMED, "the engine's answer is not JSON", e);
        }
    }

    private static List<Long> numbers(JsonNode array) {
        List<Long> numbers = new ArrayList<>();
        array.forEach(node -> numbers.add(node.longValue()));
        return numbers;
    }
}
