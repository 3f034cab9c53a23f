package org.jackdawbeam.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.net.codec.MessageMapper;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Sends sample requests of each kind and checks the responses. */
@Command(
        name = "sample",
        mixinStandardHelpOptions = true,
        description = "Sends sample requests to an entry and exits with 1 if any fails.")
public final class SampleCommand implements Callable<Integer> {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int TOKENS = 16;

    @Option(names = "--entry", required = true, description = "URL of any entry.")
    private String entry;

    @Option(names = "--key", required = true, description = "Workspace key.")
    private String key;

    @Option(names = "--models", required = true, split = ",", description = "Models to send requests for.")
    private List<String> models;

    @Option(
            names = "--payment-path",
            required = true,
            description = "Path of a route whose requests must not be repeated.")
    private String paymentPath;

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private int failures;

    @Override
    public Integer call() throws InterruptedException {
        JsonNode entries = parse(send("GET", entry + "/v1/entries", "", "").body());
        String address = entries.path("entries").path(0).path("url").asText();
        report("entries", !address.isEmpty(), "entry=" + address);
        for (String model : models) {
            checkStream(address, model);
        }
        checkCompletion(address, models.getFirst());
        checkPayment(address);
        HttpResponse<String> withoutKey =
                post(address + "/v1/chat/completions", "", chat(models.getFirst(), false), "");
        report("no_key", withoutKey.statusCode() == 401, "status=" + withoutKey.statusCode());
        return failures == 0 ? 0 : 1;
    }

    private void checkStream(String address, String model) throws InterruptedException {
        HttpResponse<String> answer = post(address + "/v1/chat/completions", key, chat(model, true), "");
        long events =
                answer.body().lines().filter(line -> line.startsWith("data: {")).count();
        boolean whole = events == TOKENS && answer.body().contains("data: [DONE]");
        report("stream", answer.statusCode() == 200 && whole, "model=" + model + " tokens=" + events);
    }

    private void checkCompletion(String address, String model) throws InterruptedException {
        HttpResponse<String> answer = post(address + "/v1/chat/completions", key, chat(model, false), "");
        long tokens =
                parse(answer.body()).path("usage").path("completion_tokens").asLong();
        report("completion", answer.statusCode() == 200 && tokens == TOKENS, "model=" + model + " tokens=" + tokens);
    }

    private void checkPayment(String address) throws InterruptedException {
        String id = UUID.randomUUID().toString();
        HttpResponse<String> first = post(address + paymentPath, key, "{\"amount\":12}", id);
        HttpResponse<String> second = post(address + paymentPath, key, "{\"amount\":12}", id);
        boolean same = first.statusCode() == 200 && first.body().equals(second.body());
        report("payment", same, "receipt=" + parse(first.body()).path("receipt").asText());
    }

    private void report(String name, boolean passed, String details) {
        System.out.println("sample=" + name + " passed=" + passed + " " + details);
        failures += passed ? 0 : 1;
    }

    private HttpResponse<String> post(String url, String bearer, String body, String idempotencyKey)
            throws InterruptedException {
        return send("POST", url, bearer, body, "idempotency-key", idempotencyKey);
    }

    private HttpResponse<String> send(String method, String url, String bearer, String body, String... headers)
            throws InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                .timeout(TIMEOUT)
                .header("content-type", "application/json")
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!bearer.isEmpty()) {
            request.header("authorization", "Bearer " + bearer);
        }
        if (headers.length == 2 && !headers[1].isEmpty()) {
            request.header(headers[0], headers[1]);
        }
        try {
            return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            System.err.println("error code=CONNECTION_FAILED url=" + url + " message=\"" + e.getMessage() + "\"");
            throw new JackdawbeamException(ErrorCode.CONNECTION_FAILED, "no response from " + url, e);
        }
    }

    private static String chat(String model, boolean streamed) {
        return "{\"model\":\"" + model + "\",\"max_tokens\":" + TOKENS + ",\"stream\":" + streamed
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"When is my next instalment due?\"}]}";
    }

    private static JsonNode parse(String body) {
        return MessageMapper.json().read(body.getBytes(StandardCharsets.UTF_8), JsonNode.class);
    }
}
