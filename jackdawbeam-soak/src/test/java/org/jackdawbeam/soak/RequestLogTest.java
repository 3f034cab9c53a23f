package org.jackdawbeam.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Follows the three procedures of docs/OPERATIONS.md, from a request id to the cause of its failure, in the logs of an
 * entry process.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class RequestLogTest {
    private static final int TARGETS = 5;
    private static final int REQUESTS = 40; // four times what the rate allows in a second
    private static final int START_ATTEMPTS = 200;
    private static final long RESPONSE_DELAY_MILLIS = 1_000;
    private static final long LOG_TIMEOUT_MILLIS = 2_000; // log lines are written asynchronously

    @TempDir
    private Path folder;

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private SoakSite site;
    private EntryProcess entry;

    @BeforeEach
    void start() throws InterruptedException {
        site = new SoakSite(1, folder);
        entry = site.entries().getFirst();
        entry.start();
        int attempts = 0;
        while (status(RequestKind.PAYMENT, "probe") != 200 || status(RequestKind.ADAPTER_CHAT, "probe") != 200) {
            assertThat(attempts++).as("attempts until the entry serves").isLessThan(START_ATTEMPTS);
            Thread.sleep(100);
        }
    }

    @AfterEach
    void stop() {
        site.close();
        threads.shutdownNow();
    }

    private Outcome send(RequestKind kind, String id) {
        try (CallerConnection connection = new CallerConnection(entry.callerPort())) {
            return connection.send(kind.toHttp(id, kind.key()));
        }
    }

    private int status(RequestKind kind, String id) {
        return send(kind, id) instanceof Outcome.Answered answered ? answered.status() : 0;
    }

    /** Returns the log lines with the text, once one of them contains the expected part or the timeout expires. */
    private List<String> linesWith(String text, String expected) throws IOException, InterruptedException {
        long until = System.currentTimeMillis() + LOG_TIMEOUT_MILLIS;
        List<String> lines = List.of();
        while (lines.stream().noneMatch(line -> line.contains(expected)) && System.currentTimeMillis() < until) {
            Thread.sleep(20);
            lines = Files.readAllLines(folder.resolve(entry.name() + ".log")).stream()
                    .filter(line -> line.contains(text))
                    .toList();
        }
        return lines;
    }

    /** Sends a request and resets the target connections while its response is held back. */
    private Outcome sendAndResetBeforeTheResponse(RequestKind kind, String id) throws Exception {
        for (int target = 0; target < TARGETS; target++) {
            site.targetProxy(target).hold(false, true);
        }
        CompletableFuture<Outcome> outcome = CompletableFuture.supplyAsync(() -> send(kind, id), threads);
        linesWith("request=" + id, "event=attempt_started");
        resetTargets();
        return outcome.get();
    }

    /** Sends a request and resets the target connections when the head of its response has arrived. */
    private Outcome sendAndResetAfterTheHead(RequestKind kind, String id) throws Exception {
        for (int target = 0; target < TARGETS; target++) {
            // The rest of the response follows the head after the same delay.
            site.targetProxy(target).delay(RESPONSE_DELAY_MILLIS);
        }
        CompletableFuture<Void> head = new CompletableFuture<>();
        CompletableFuture<Outcome> outcome = CompletableFuture.supplyAsync(
                () -> {
                    try (CallerConnection connection =
                            new CallerConnection(entry.callerPort(), () -> head.complete(null))) {
                        return connection.send(kind.toHttp(id, kind.key()));
                    }
                },
                threads);
        head.get();
        resetTargets();
        return outcome.get();
    }

    private void resetTargets() {
        for (int target = 0; target < TARGETS; target++) {
            site.targetProxy(target).reset();
        }
    }

    @Test
    void refusalOverTheRateLogsUnitsAndVersion() throws Exception {
        List<CompletableFuture<Integer>> statuses = IntStream.range(0, REQUESTS)
                .mapToObj(number -> CompletableFuture.supplyAsync(
                        () -> status(RequestKind.SMALL_WORKSPACE_READ, "small-" + number), threads))
                .toList();
        List<String> refused = IntStream.range(0, REQUESTS)
                .filter(number -> statuses.get(number).join() == 429)
                .mapToObj(number -> "request=small-" + number + " ")
                .toList();

        assertThat(refused).isNotEmpty();
        assertThat(linesWith(refused.getFirst(), "event=request_refused"))
                .filteredOn(line -> line.contains("event=request_refused"))
                .singleElement()
                .asString()
                .contains("code=OVER_RATE", "ran=no", "units 200", "configuration=1");
        assertThat(linesWith("event=configuration_changed", "version=1")).isNotEmpty();
    }

    @Test
    void paymentWithoutAnAnswerLogsItsTargetAndThatItMayHaveRun() throws Exception {
        Outcome outcome = sendAndResetBeforeTheResponse(RequestKind.PAYMENT, "payment-1");

        assertThat(outcome)
                .isInstanceOfSatisfying(
                        Outcome.Answered.class,
                        answer -> assertThat(answer.status()).isEqualTo(502));
        List<String> lines = linesWith("request=payment-1", "event=request_refused");
        assertThat(lines).anyMatch(line -> line.contains("event=attempt_started") && line.contains("target=service-"));
        assertThat(lines)
                .anyMatch(line -> line.contains("event=attempt_failed")
                        && line.contains("reason=CONNECTION_LOST")
                        && line.contains("may_have_run=true"));
        assertThat(lines).anyMatch(line -> line.contains("code=TARGET_FAILED") && line.contains("ran=unknown"));
    }

    @Test
    void brokenStreamLogsItsEngineAndItsEstimate() throws Exception {
        Outcome outcome = sendAndResetAfterTheHead(RequestKind.CHAT, "stream-1");

        assertThat(outcome).isEqualTo(new Outcome.Broken(true));
        List<String> lines = linesWith("request=stream-1", "event=answer_broken");
        assertThat(lines)
                .anyMatch(line -> line.contains("event=attempt_started")
                        && line.contains("target=engine-")
                        && line.contains("estimate_ms="));
        assertThat(lines).anyMatch(line -> line.contains("event=answer_broken") && line.contains("CONNECTION_LOST"));
    }
}
