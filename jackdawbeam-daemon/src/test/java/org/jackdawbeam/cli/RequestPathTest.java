package org.jackdawbeam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.jackdawbeam.standin.engine.TokenText;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** End-to-end tests of requests through separate processes, without failures. */
class RequestPathTest {
    private static Deployment deployment;

    @BeforeAll
    static void start() {
        deployment = new Deployment(3, 2);
    }

    @AfterAll
    static void stop() {
        deployment.close();
    }

    @Test
    void streamCarriesEveryTokenOnceAndInOrder() {
        HttpResponse<String> response = deployment.stream(
                        deployment.entryUrl(2), deployment.portalKey(), "invoices", 40)
                .join();

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(StreamText.of(response.body())).isEqualTo(expectedText(40));
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
    }

    @Test
    void nonStreamingResponseHasTextAndUsage() {
        HttpResponse<String> response = deployment
                .complete(deployment.entryUrl(3), deployment.portalKey(), "arrears", 12)
                .join();

        JsonNode body = deployment.json(response.body());
        assertThat(body.path("usage").path("completion_tokens").asInt()).isEqualTo(12);
        assertThat(body.path("choices").path(0).path("text").asText()).isEqualTo(expectedText(12));
    }

    @Test
    void samePaymentThroughAllEntriesAtOnceRunsOnce() {
        String key = "once-" + System.nanoTime();
        List<CompletableFuture<HttpResponse<String>>> calls = IntStream.range(0, 12)
                .mapToObj(number -> deployment.pay(
                        deployment.entryUrl(1 + number % 3), deployment.portalKey(), key, "{\"amount\":5}"))
                .toList();

        List<String> receipts = calls.stream()
                .map(CompletableFuture::join)
                .peek(response -> assertThat(response.statusCode()).isEqualTo(200))
                .map(HttpResponse::body)
                .distinct()
                .toList();
        assertThat(receipts).hasSize(1);
        assertThat(deployment.executionsByKey()).containsEntry(key, 1);
    }

    @Test
    void otherBodyUnderTheSameIdempotencyKeyIsRefused() {
        String key = "reused-" + System.nanoTime();
        deployment
                .pay(deployment.entryUrl(1), deployment.portalKey(), key, "{\"amount\":5}")
                .join();

        HttpResponse<String> other = deployment
                .pay(deployment.entryUrl(2), deployment.portalKey(), key, "{\"amount\":50}")
                .join();

        assertThat(other.statusCode()).isEqualTo(422);
        assertThat(error(other).path("ran").asText()).isEqualTo("no");
        assertThat(deployment.executionsByKey()).containsEntry(key, 1);
    }

    @Test
    void sameIdempotencyKeyOfAnotherWorkspaceIsAnotherRequest() {
        String key = "shared-" + System.nanoTime();
        deployment
                .pay(deployment.entryUrl(1), deployment.portalKey(), key, "{}")
                .join();

        HttpResponse<String> other = deployment
                .pay(deployment.entryUrl(1), deployment.assistantKey(), key, "{}")
                .join();

        assertThat(other.statusCode()).isEqualTo(200);
        assertThat(deployment.executionsByKey()).containsEntry(key, 2);
    }

    @Test
    void noTargetSeesAKey() {
        deployment
                .complete(deployment.entryUrl(1), deployment.portalKey(), "invoices", 2)
                .join();
        deployment
                .pay(deployment.entryUrl(1), deployment.portalKey(), "seen-" + System.nanoTime(), "{}")
                .join();

        String seen = deployment.requestsSeenByTargets();

        assertThat(seen).contains("x-workspace-id");
        assertThat(seen).doesNotContain(deployment.portalKey()).doesNotContainIgnoringCase("authorization");
    }

    @Test
    void keyInTheBodyIsRefused() {
        HttpResponse<String> response = deployment
                .pay(
                        deployment.entryUrl(1),
                        deployment.portalKey(),
                        "echo",
                        "{\"note\":\"" + deployment.portalKey() + "\"}")
                .join();

        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(deployment.executionsByKey()).doesNotContainKey("echo");
    }

    @ParameterizedTest
    @CsvSource({
        "POST, /v1/completions, '{', 400, MALFORMED_REQUEST",
        "POST, /v1/completions, '[]', 400, MALFORMED_REQUEST",
        "POST, /v1/completions, '{\"model\":7}', 400, MALFORMED_REQUEST",
        "POST, /v1/completions, '{\"model\":\"nobody\",\"prompt\":\"x\"}', 404, MODEL_UNKNOWN",
        "POST, /v1/completions, '{\"model\":\"invoices\",\"prompt\":\"x\",\"max_tokens\":0}', 400, MALFORMED_REQUEST",
        "POST, /v1/chat/completions, '{\"model\":\"invoices\",\"messages\":[]}', 400, MALFORMED_REQUEST",
        "POST, /services/unknown/x, '{}', 404, ROUTE_UNKNOWN",
        "POST, /services/payments/admin, '{}', 403, ROUTE_FORBIDDEN",
        "GET, /nothing, '', 404, ROUTE_UNKNOWN"
    })
    void invalidRequestsAreRefusedWithAnErrorCode(String method, String path, String body, int status, String code) {
        HttpResponse<String> response = deployment
                .send(
                        method,
                        deployment.entryUrl(1) + path,
                        Map.of("authorization", "Bearer " + deployment.portalKey()),
                        body)
                .join();

        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(error(response).path("code").asText()).isEqualTo(code);
        assertThat(error(response).path("ran").asText()).isEqualTo("no");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "nonsense", "jdb_", "jdb__", "jdb_unknown_secret"})
    void unknownKeysAreRefused(String key) {
        HttpResponse<String> response =
                deployment.complete(deployment.entryUrl(1), key, "invoices", 1).join();

        assertThat(response.statusCode()).isEqualTo(401);
    }

    @ParameterizedTest
    @CsvSource({"'GARBAGE\r\n\r\n', 400", "'POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n', 400"})
    void malformedHttpIsAnsweredAndTheConnectionClosed(String bytes, int status) throws IOException {
        String response = rawExchange(bytes);

        assertThat(response).startsWith("HTTP/1.1 " + status);
        assertThat(response).contains("\"ran\":\"no\"").containsIgnoringCase("connection: close");
    }

    @Test
    void oversizedHeadersAreRefused() throws IOException {
        String response = rawExchange("GET /v1/models HTTP/1.1\r\nX-Long: " + "x".repeat(20_000) + "\r\n\r\n");

        assertThat(response).startsWith("HTTP/1.1 431");
    }

    @Test
    void oversizedBodyIsRefused() throws IOException {
        String response = rawExchange("POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n");

        assertThat(response).startsWith("HTTP/1.1 413");
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        String head = "GET /v1/entries HTTP/1.1\r\nHost: x\r\n";
        String response = rawExchange(
                head + "\r\n" + "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n" + head + "Connection: close\r\n\r\n");

        int first = response.indexOf("HTTP/1.1 200");
        int second = response.indexOf("HTTP/1.1 404");
        assertThat(first).isZero();
        assertThat(second).isPositive();
        assertThat(response.lastIndexOf("HTTP/1.1 200")).isGreaterThan(second);
    }

    @Test
    void entryListNamesAllEntriesWithTheCallersZoneFirst() {
        JsonNode response = deployment.json(deployment
                .send("GET", deployment.entryUrl(1) + "/v1/entries?zone=c", Map.of(), "")
                .join()
                .body());

        assertThat(response.path("entries")).hasSize(3);
        assertThat(response.path("entries").path(0).path("url").asText()).isEqualTo(deployment.entryUrl(3));
    }

    @Test
    void openRouteNeedsNoKey() {
        HttpResponse<String> response = deployment
                .send("GET", deployment.entryUrl(1) + "/services/payments/status", Map.of(), "")
                .join();

        assertThat(response.statusCode()).isEqualTo(200);
    }

    private static JsonNode error(HttpResponse<String> response) {
        return deployment.json(response.body()).path("error");
    }

    private static String expectedText(int tokens) {
        return TokenText.answer("When is the next instalment due?".hashCode(), tokens);
    }

    private static String rawExchange(String bytes) throws IOException {
        URI uri = URI.create(deployment.entryUrl(1));
        try (Socket socket = new Socket(uri.getHost(), uri.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
