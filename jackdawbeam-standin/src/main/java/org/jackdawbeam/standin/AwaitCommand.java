package org.jackdawbeam.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Waits until all given URLs respond with status 200. */
@Command(name = "await", mixinStandardHelpOptions = true, description = "Waits until all URLs answer with status 200.")
public final class AwaitCommand implements Callable<Integer> {
    private static final long POLL_MILLIS = 100;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    @Parameters(paramLabel = "URL", arity = "1..*", description = "URLs to wait for.")
    private List<String> urls;

    @Option(names = "--timeout-ms", defaultValue = "30000", description = "Maximum time to wait (${DEFAULT-VALUE}).")
    private long timeoutMillis;

    @Override
    public Integer call() throws InterruptedException {
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
        try (HttpClient client = HttpClient.newHttpClient()) {
            for (String url : urls) {
                while (!isReady(client, url)) {
                    if (System.nanoTime() > deadline) {
                        System.err.println("error code=NOT_READY url=" + url);
                        return 1;
                    }
                    Thread.sleep(POLL_MILLIS);
                }
            }
        }
        return 0;
    }

    private static boolean isReady(HttpClient client, String url) throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT).build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
