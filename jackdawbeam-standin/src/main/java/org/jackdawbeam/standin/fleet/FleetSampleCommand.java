package org.jackdawbeam.standin.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Resolves the addresses of all entries and sends sample requests of each kind to each of them. */
@Command(
        name = "fleet-sample",
        mixinStandardHelpOptions = true,
        description = "Sends sample requests to all entries with the platform's protocol; exits with 1 if any fails.")
public final class FleetSampleCommand implements Callable<Integer> {
    private static final Duration TIMEOUT = Duration.ofSeconds(6);
    private static final Pattern ADDRESS = Pattern.compile("[0-9]+(\\.[0-9]+){3}:[0-9]+");

    @Option(names = "--directory", required = true, description = "IP:port of an entry's directory.")
    private String directory;

    @Option(
            names = "--rounds",
            defaultValue = "1",
            description = "Number of sample rounds for each entry (${DEFAULT-VALUE}).")
    private int rounds;

    private final HttpClient client = HttpClient.newHttpClient();
    private int failures;

    /** A sample request with its expected status and content. */
    private record Sample(String name, String path, String key, String model, int status, String content) {}

    @Override
    public Integer call() throws IOException, InterruptedException {
        HttpResponse<String> resolved = client.send(
                HttpRequest.newBuilder(URI.create("http://" + directory + "/v1/resolve?name=" + FleetSite.HOST))
                        .timeout(TIMEOUT)
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        System.out.println("resolve: " + resolved.body());
        List<String> addresses = ADDRESS.matcher(resolved.body())
                .results()
                .map(MatchResult::group)
                .toList();
        for (int round = 0; round < rounds; round++) {
            for (String address : addresses) {
                sendAllSamples(address);
            }
        }
        failures += addresses.isEmpty() ? 1 : 0;
        return failures == 0 ? 0 : 1;
    }

    private void sendAllSamples(String address) throws IOException, InterruptedException {
        send(address, new Sample("stream", "/chat/1", FleetSite.KEY, "small", 200, "token 6"));
        send(address, new Sample("stream with an adapter", "/chat/2", FleetSite.KEY, "large/a1", 200, "token 6"));
        send(address, new Sample("model that must be loaded", "/letter/3", FleetSite.KEY, "rare", 200, "token 6"));
        send(address, new Sample("payment", "/pay/4", FleetSite.KEY, "", 200, "done"));
        send(address, new Sample("read", "/read/5", FleetSite.KEY, "", 200, "done"));
        send(address, new Sample("unknown key", "/pay/6", "wrong", "", 401, ""));
        send(address, new Sample("unknown route", "/nowhere/7", FleetSite.KEY, "", 404, ""));
    }

    private void send(String address, Sample sample) throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + sample.path()))
                .timeout(TIMEOUT)
                .header("Request-Id", UUID.randomUUID().toString())
                .header("Deadline-Ms", "5000")
                .header("Api-Key", sample.key())
                .POST(HttpRequest.BodyPublishers.ofString("sample"));
        if (!sample.model().isEmpty()) {
            request.header("Model", sample.model()).header("Token-Count", "100,20");
        }
        HttpResponse<String> answer = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        boolean passed = answer.statusCode() == sample.status() && answer.body().contains(sample.content());
        failures += passed ? 0 : 1;
        System.out.println((passed ? "passed: " : "FAILED: ") + sample.name() + ", status " + answer.statusCode());
    }
}
