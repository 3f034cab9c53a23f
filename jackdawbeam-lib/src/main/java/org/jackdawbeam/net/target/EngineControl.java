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

/** Client of the control API of model engines: load reports, cache events and orders. */
public final class EngineControl {
    private static final long LOAD_TIMEOUT_MILLIS = 1_000;
    private static final byte[] NO_BODY = new byte[0];
    private static final Map<String, String> JSON = Map.of("content-type", "application/json");
    private static final int HTTP_CONFLICT = 409;
    private static final int HTTP_INSUFFICIENT_STORAGE = 507;

    private final BufferedHttpClient httpClient;
    private final MessageMapper mapper;
    private final long orderAnswerMillis;

    /** A load report with the cache entries added and dropped since the previous report. */
    public record LoadReport(EngineLoad load, List<Long> added, List<Long> dropped) {}

    /** Response to an order. */
    public record OrderResponse(OrderOutcome outcome, String engineRun) {}

    public EngineControl(BufferedHttpClient httpClient, MessageMapper mapper, long orderAnswerMillis) {
        this.httpClient = httpClient;
        this.mapper = mapper;
        this.orderAnswerMillis = orderAnswerMillis;
    }

    /** Requests the load report of an engine. */
    public CompletableFuture<LoadReport> fetchLoad(TargetSpecification target) {
        return httpClient
                .send(TargetAddress.parse(target.address()), "GET", "/load", Map.of(), NO_BODY, LOAD_TIMEOUT_MILLIS)
                .thenApply(this::parseLoadReport);
    }

    /** Sends an order. The future never fails; without a valid response the outcome is {@link OrderOutcome#UNKNOWN}. */
    public CompletableFuture<OrderResponse> sendOrder(SendOrder order) {
        byte[] body = mapper.write(Map.of(
                "orderId", order.order().recordId(),
                "fencing", order.fencing(),
                "maximumLifeMillis", order.order().maximumLifeMillis(),
                "items", order.order().items()));
        return httpClient
                .send(TargetAddress.parse(order.target().address()), "POST", "/orders", JSON, body, orderAnswerMillis)
                .thenApply(this::parseOrderResponse)
                .exceptionally(failure -> new OrderResponse(OrderOutcome.UNKNOWN, ""));
    }

    private OrderResponse parseOrderResponse(BufferedHttpResponse response) {
        boolean refused = response.status() == HTTP_CONFLICT || response.status() == HTTP_INSUFFICIENT_STORAGE;
        if (!response.isSuccess() && !refused) {
            return new OrderResponse(OrderOutcome.UNKNOWN, "");
        }
        String engineRun = parseJson(response).path("engineRun").asText();
        return new OrderResponse(refused ? OrderOutcome.REFUSED : OrderOutcome.DONE, engineRun);
    }

    private LoadReport parseLoadReport(BufferedHttpResponse response) {
        if (!response.isSuccess()) {
            throw new JackdawbeamException(
                    ErrorCode.CONNECTION_FAILED, "load report request failed with status " + response.status());
        }
        JsonNode tree = parseJson(response);
        try {
            EngineLoad load = mapper.objectMapper().treeToValue(tree.path("load"), EngineLoad.class);
            return new LoadReport(load, longValues(tree.path("cacheAdded")), longValues(tree.path("cacheDropped")));
        } catch (IOException | NullPointerException e) {
            throw new JackdawbeamException(ErrorCode.MESSAGE_MALFORMED, "invalid load report", e);
        }
    }

    private JsonNode parseJson(BufferedHttpResponse response) {
        try {
            return mapper.objectMapper().readTree(response.body());
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.MESSAGE_MALFORMED, "the engine's response is not valid JSON", e);
        }
    }

    private static List<Long> longValues(JsonNode array) {
        List<Long> numbers = new ArrayList<>();
        array.forEach(node -> numbers.add(node.longValue()));
        return numbers;
    }
}
