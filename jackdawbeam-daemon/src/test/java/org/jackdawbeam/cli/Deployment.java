package org.jackdawbeam.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.jackdawbeam.net.bundle.BundleSignatures;
import org.jackdawbeam.net.caller.KeyReader;
import org.jackdawbeam.net.codec.MessageMapper;
import org.jackdawbeam.net.operator.AdministrationHandler.SignedBundle;
import org.jackdawbeam.standin.PortBlock;

/** A small deployment of platform, engines, services and entries in separate processes on the loopback interface. */
final class Deployment implements AutoCloseable {
    static final String PAYMENT = "/services/payments/fees";
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String OPERATOR_KEY = "operator-secret";
    private static final String[] ZONES = {"a", "b", "c"};

    private final MessageMapper mapper = MessageMapper.json();
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private final BundleSignatures.EncodedKeys signingKeys = BundleSignatures.generate();
    private final KeyCommand.NewKey portal = KeyCommand.create("portal", new SecureRandom());
    private final KeyCommand.NewKey assistant = KeyCommand.create("assistant", new SecureRandom());
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, List<String>> entryArguments = new LinkedHashMap<>();
    private final Map<String, List<String>> engineArguments = new LinkedHashMap<>();
    private final List<String> engines = new ArrayList<>();
    private final List<String> services = new ArrayList<>();
    private final List<String> entryUrls = new ArrayList<>();
    private final List<String> administrationUrls = new ArrayList<>();
    private final Path logs;
    private final String platform;

    Deployment(int entryCount, int engineCount) {
        try {
            logs = Files.createTempDirectory("deployment");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        platform = freeAddress();
        start("platform", "org.jackdawbeam.standin.StandInMain", List.of("platform", "--listen", platform));
        await(() -> isAvailable("http://" + platform + "/hosts"));
        for (int number = 1; number <= engineCount; number++) {
            startEngine("engine-" + number, number % 2 == 0);
        }
        for (int number = 1; number <= 2; number++) {
            String address = freeAddress();
            services.add(address);
            start(
                    "service-" + number,
                    "org.jackdawbeam.standin.StandInMain",
                    List.of("service", "--listen", address, "--name", "payments"));
        }
        for (int number = 1; number <= entryCount; number++) {
            startEntry("entry-" + number, ZONES[(number - 1) % ZONES.length]);
        }
        administrationUrls.forEach(url -> await(() -> isAvailable(url + "/healthz")));
        await(() -> roll(0, "first").statusCode() == 200);
        administrationUrls.forEach(url -> await(() -> isAvailable(url + "/readyz")));
        entryUrls.forEach(url ->
                await(() -> complete(url, portalKey(), "invoices", 1).join().statusCode() == 200));
    }

    String portalKey() {
        return portal.key();
    }

    String assistantKey() {
        return assistant.key();
    }

    String assistantKeyId() {
        return assistant.specification().id();
    }

    String entryUrl(int number) {
        return entryUrls.get(number - 1);
    }

    List<String> entryUrls() {
        return entryUrls;
    }

    List<String> administrationUrls() {
        return administrationUrls;
    }

    Process process(String name) {
        return processes.get(name);
    }

    void signal(String name, String signal) {
        try {
            new ProcessBuilder(
                            "kill",
                            "-" + signal,
                            Long.toString(processes.get(name).pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void restartEntry(String name) {
        start(name, "org.jackdawbeam.cli.Main", entryArguments.get(name));
    }

    void restartEngine(String name) {
        start(name, "org.jackdawbeam.standin.StandInMain", engineArguments.get(name));
    }

    void setPlatformFaults(boolean outage, double lostAnswers) {
        String body = "{\"outage\":" + outage + ",\"delayMillis\":0,\"lostAnswers\":" + lostAnswers
                + ",\"hostListLagMillis\":100}";
        send("POST", "http://" + platform + "/faults", Map.of(), body).join();
    }

    void setEngineFaults(int engine, String body) {
        send("POST", "http://" + engines.get(engine - 1) + "/faults", Map.of(), body)
                .join();
    }

    void setHostState(String name, String state) {
        send("PUT", "http://" + platform + "/hosts/" + name, Map.of(), "{\"state\":\"" + state + "\"}")
                .join();
    }

    HttpResponse<String> roll(long basedOn, String name) {
        String document = bundle(name);
        long version = basedOn + 1;
        String signature = BundleSignatures.sign(signingKeys.privateKey(), version, document);
        byte[] body = mapper.write(new SignedBundle(basedOn, version, document, signature));
        return administer("POST", 1, "bundles", new String(body, StandardCharsets.UTF_8));
    }

    HttpResponse<String> administer(String method, int entry, String resource, String body) {
        return send(
                        method,
                        administrationUrls.get(entry - 1) + "/admin/v1/" + resource,
                        Map.of("authorization", "Bearer " + OPERATOR_KEY),
                        body)
                .join();
    }

    JsonNode status(int entry) {
        return json(administer("GET", entry, "status", "").body());
    }

    CompletableFuture<HttpResponse<String>> complete(String url, String key, String model, int tokens) {
        return send(
                "POST",
                url + "/v1/completions",
                Map.of("authorization", "Bearer " + key),
                prompt(model, tokens, false));
    }

    CompletableFuture<HttpResponse<String>> stream(String url, String key, String model, int tokens) {
        return send(
                "POST", url + "/v1/completions", Map.of("authorization", "Bearer " + key), prompt(model, tokens, true));
    }

    CompletableFuture<HttpResponse<String>> pay(String url, String key, String idempotencyKey, String body) {
        return send(
                "POST",
                url + PAYMENT,
                Map.of("authorization", "Bearer " + key, "idempotency-key", idempotencyKey),
                body);
    }

    CompletableFuture<HttpResponse<String>> send(String method, String url, Map<String, String> headers, String body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                .timeout(TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the number of executions of each idempotency key, summed over all services. */
    Map<String, Integer> executionsByKey() {
        Map<String, Integer> runs = new LinkedHashMap<>();
        for (String service : services) {
            JsonNode ledger = json(send("GET", "http://" + service + "/ledger", Map.of(), "")
                    .join()
                    .body());
            ledger.path("runs")
                    .fields()
                    .forEachRemaining(
                            entry -> runs.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
        }
        return runs;
    }

    /** Returns the request data that all targets have recorded, as text. */
    String requestsSeenByTargets() {
        StringBuilder seen = new StringBuilder();
        services.forEach(service -> seen.append(send("GET", "http://" + service + "/ledger", Map.of(), "")
                .join()
                .body()));
        engines.forEach(engine -> seen.append(
                send("GET", "http://" + engine + "/seen", Map.of(), "").join().body()));
        return seen.toString();
    }

    JsonNode json(String text) {
        return mapper.read(text.getBytes(StandardCharsets.UTF_8), JsonNode.class);
    }

    static void await(BooleanSupplier condition) {
        await(30_000, condition);
    }

    static void await(long timeoutMillis, BooleanSupplier condition) {
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!isTrue(condition)) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("the condition did not hold within " + timeoutMillis + " ms");
            }
            sleep(50);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        client.close();
    }

    private static boolean isTrue(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (RuntimeException e) {
            return false;
        }
    }

    private boolean isAvailable(String url) {
        return send("GET", url, Map.of(), "").join().statusCode() == 200;
    }

    private void startEngine(String name, boolean checksFencing) {
        String address = freeAddress();
        engines.add(address);
        List<String> arguments = new ArrayList<>(List.of("engine", "--listen", address, "--store", platform));
        if (checksFencing) {
            arguments.add("--checks-fencing");
        }
        engineArguments.put(name, arguments);
        start(name, "org.jackdawbeam.standin.StandInMain", arguments);
    }

    private void startEntry(String name, String zone) {
        String listen = freeAddress();
        String administration = freeAddress();
        entryUrls.add("http://" + listen);
        administrationUrls.add("http://" + administration);
        List<String> arguments = List.of(
                "entry",
                "--host-id=" + name,
                "--zone=" + zone,
                "--listen=" + listen,
                "--peer-listen=" + freeAddress(),
                "--admin-listen=" + administration,
                "--platform=" + platform,
                "--operator-public-key=" + signingKeys.publicKey(),
                "--operator-key-sha256=" + KeyReader.sha256(OPERATOR_KEY.getBytes(StandardCharsets.UTF_8)),
                "--entries-max-age-ms=1000");
        entryArguments.put(name, arguments);
        start(name, "org.jackdawbeam.cli.Main", arguments);
    }

    private void start(String name, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx192m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        try {
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            logs.resolve(name + ".log").toFile()))
                    .start();
            processes.put(name, process);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Avoids ports of the ephemeral range, which a connection could take before the process listens. */
    private static String freeAddress() {
        return "127.0.0.1:" + PortBlock.find(1);
    }

    private static String prompt(String model, int tokens, boolean streamed) {
        return "{\"model\":\"" + model + "\",\"max_tokens\":" + tokens + ",\"stream\":" + streamed
                + ",\"prompt\":\"When is the next instalment due?\"}";
    }

    private String bundle(String name) {
        StringBuilder targets = new StringBuilder();
        for (int number = 1; number <= engines.size(); number++) {
            targets.append("{\"name\":\"engine-" + number + "\",\"address\":\"" + engines.get(number - 1)
                    + "\",\"zone\":\"" + ZONES[(number - 1) % 3]
                    + "\",\"kind\":\"ENGINE\",\"capacityBytes\":85899345920,"
                    + "\"cacheReserveBytes\":17179869184,\"checksFencing\":" + (number % 2 == 0) + "},");
        }
        for (int number = 1; number <= services.size(); number++) {
            targets.append("{\"name\":\"service-" + number + "\",\"address\":\"" + services.get(number - 1)
                    + "\",\"zone\":\"a\",\"kind\":\"SERVICE\",\"service\":\"payments\"}");
            targets.append(number < services.size() ? "," : "");
        }
        return "{\"name\":\"" + name + "\",\"models\":["
                + "{\"name\":\"invoices\",\"bytes\":20000000000,\"minimumReplicas\":2},"
                + "{\"name\":\"arrears\",\"bytes\":20000000000,\"minimumReplicas\":2}],"
                + "\"workspaces\":[{\"name\":\"portal\",\"tokensPerSecond\":100000,\"burstTokens\":200000},"
                + "{\"name\":\"assistant\",\"tokensPerSecond\":100000,\"burstTokens\":200000}],"
                + "\"keys\":[" + key(portal) + "," + key(assistant) + "],\"targets\":[" + targets + "],"
                + "\"routes\":[{\"path\":\"payments/fees\",\"service\":\"payments\",\"openToAll\":false,"
                + "\"repeatable\":false,\"costTokens\":10},{\"path\":\"payments/status\",\"service\":\"payments\","
                + "\"openToAll\":true,\"repeatable\":true,\"costTokens\":0},{\"path\":\"payments/admin\","
                + "\"service\":\"payments\",\"openToAll\":false,\"repeatable\":true,\"costTokens\":1,"
                + "\"workspaces\":[\"assistant\"]}]}";
    }

    private static String key(KeyCommand.NewKey key) {
        return "{\"id\":\"" + key.specification().id() + "\",\"sha256\":\""
                + key.specification().sha256() + "\",\"workspace\":\""
                + key.specification().workspace() + "\"}";
    }
}
