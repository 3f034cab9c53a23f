package org.jackdawbeam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.jackdawbeam.standin.engine.TokenText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** End-to-end tests with failures of separate processes and of the log. */
class FailureTest {
    private static final long SECONDS = 1_000;
    private Deployment deployment;

    @BeforeEach
    void start() {
        deployment = new Deployment(3, 2);
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void killedEntryNeitherLosesNorRepeatsPayments() {
        List<String> completed = keys("settled", 50);
        List<String> receipts =
                completed.stream().map(key -> pay(1, key).join().body()).toList();
        Deployment.sleep(2 * SECONDS);
        List<String> inFlight = keys("caught", 50);
        List<CompletableFuture<HttpResponse<String>>> calls =
                inFlight.stream().map(key -> pay(1, key)).toList();
        Deployment.sleep(20);
        deployment.signal("entry-1", "KILL");
        calls.forEach(call -> call.handle((response, failure) -> null).join());
        List<String> afterKill = keys("late", 50);
        afterKill.forEach(key -> pay(1, key).handle((response, failure) -> null).join());

        List<String> repeatedReceipts =
                completed.stream().map(key -> pay(2, key).join().body()).toList();
        List<HttpResponse<String>> repeatedInFlight =
                inFlight.stream().map(key -> pay(2, key).join()).toList();
        List<HttpResponse<String>> repeatedAfterKill =
                afterKill.stream().map(key -> pay(2, key).join()).toList();

        assertThat(repeatedReceipts).isEqualTo(receipts);
        assertThat(repeatedAfterKill).allMatch(response -> response.statusCode() == 200);
        assertThat(repeatedInFlight)
                .allMatch(response -> response.statusCode() == 200
                        || error(response).path("ran").asText().equals("unknown"));
        assertThat(deployment.executionsByKey().values()).allMatch(runs -> runs == 1);
        assertThat(deployment.executionsByKey()).containsKeys(completed.toArray(String[]::new));
        assertThat(deployment.executionsByKey()).containsKeys(afterKill.toArray(String[]::new));
    }

    private static List<String> keys(String name, int count) {
        return IntStream.range(0, count).mapToObj(number -> name + "-" + number).toList();
    }

    @Test
    void suspendedEntryRejoinsAsANewIncarnationWithoutRepeatingPayments() {
        long before = deployment.status(1).path("incarnation").asLong();
        deployment.signal("entry-1", "STOP");
        CompletableFuture<HttpResponse<String>> inFlight = pay(1, "frozen");
        HttpResponse<String> elsewhere = pay(2, "frozen").join();
        Deployment.await(
                20 * SECONDS, () -> deployment.status(2).path("members").size() == 2);

        deployment.signal("entry-1", "CONT");

        Deployment.await(
                20 * SECONDS, () -> deployment.status(1).path("incarnation").asLong() > before);
        Deployment.await(
                20 * SECONDS, () -> deployment.status(2).path("members").size() == 3);
        assertThat(elsewhere.statusCode()).isEqualTo(200);
        inFlight.handle((response, failure) -> null).join();
        assertThat(deployment.executionsByKey()).containsEntry("frozen", 1);
    }

    @Test
    void gracefulStopCompletesStreamsAndExitsWithZero() throws InterruptedException {
        List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
        for (int number = 0; number < 20; number++) {
            streams.add(deployment.stream(deployment.entryUrl(1), deployment.portalKey(), "invoices", 200));
        }
        Deployment.sleep(300);

        deployment.signal("entry-1", "TERM");
        Deployment.await(5 * SECONDS, () -> listedEntries(2) == 2);

        for (CompletableFuture<HttpResponse<String>> stream : streams) {
            assertThat(StreamText.of(stream.join().body())).isEqualTo(expectedText(200));
        }
        assertThat(deployment.process("entry-1").waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(deployment.process("entry-1").exitValue()).isZero();
        Deployment.await(5 * SECONDS, () -> deployment.status(2).path("members").size() == 2);
    }

    @Test
    void withdrawnKeyIsRefusedEverywhereWhileTheLogIsUnavailable() {
        assertThat(complete(3, deployment.assistantKey()).statusCode()).isEqualTo(200);
        deployment.setPlatformFaults(true, 0);

        deployment.administer("DELETE", 1, "keys/" + deployment.assistantKeyId(), "");

        assertThat(complete(1, deployment.assistantKey()).statusCode()).isEqualTo(401);
        for (int entry = 2; entry <= 3; entry++) {
            int number = entry;
            Deployment.await(
                    5 * SECONDS,
                    () -> complete(number, deployment.assistantKey()).statusCode() == 401);
        }
        deployment.setPlatformFaults(false, 0);
        deployment.signal("entry-3", "KILL");
        deployment.restartEntry("entry-3");
        Deployment.await(() -> complete(3, deployment.portalKey()).statusCode() == 200);
        assertThat(complete(3, deployment.assistantKey()).statusCode()).isEqualTo(401);
    }

    @Test
    void logOutageRefusesKeyedPaymentsButNotCompletions() {
        assertThat(pay(1, "before").join().statusCode()).isEqualTo(200);
        deployment.setPlatformFaults(true, 0);
        Deployment.sleep(5 * SECONDS);

        for (int entry = 1; entry <= 3; entry++) {
            assertThat(complete(entry, deployment.portalKey()).statusCode()).isEqualTo(200);
        }
        HttpResponse<String> refused = pay(2, "during").join();
        HttpResponse<String> replayed = pay(3, "before").join();

        assertThat(error(refused).path("ran").asText()).isEqualTo("no");
        assertThat(refused.headers().firstValue("retry-after")).isPresent();
        assertThat(replayed.statusCode()).isEqualTo(200);
        assertThat(deployment.executionsByKey()).doesNotContainKey("during").containsEntry("before", 1);
        deployment.setPlatformFaults(false, 0);
        Deployment.await(10 * SECONDS, () -> pay(2, "during").join().statusCode() == 200);
        assertThat(deployment.executionsByKey()).containsEntry("during", 1);
    }

    @Test
    void lostLogResponsesCauseNoDuplicateExecutions() {
        deployment.setPlatformFaults(false, 0.3);

        List<HttpResponse<String>> responses = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            responses.add(pay(1 + number % 3, "lost-" + number / 2).join());
        }

        assertThat(deployment.executionsByKey().values()).allMatch(runs -> runs == 1);
        assertThat(responses)
                .allMatch(response -> response.statusCode() == 200
                        || !error(response).path("ran").asText().isEmpty());
    }

    @Test
    void brokenStreamIsResumedOnAnotherEngineWithEachTokenOnce() {
        deployment.setEngineFaults(1, engineFaultsJson(false, 60));
        deployment.setEngineFaults(2, engineFaultsJson(false, 60));
        List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            streams.add(
                    deployment.stream(deployment.entryUrl(1 + number % 3), deployment.portalKey(), "invoices", 100));
        }

        for (CompletableFuture<HttpResponse<String>> stream : streams) {
            assertThat(StreamText.of(stream.join().body())).isEqualTo(expectedText(100));
        }
    }

    @Test
    void killedEngineInterruptsNoStream() {
        List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            streams.add(deployment.stream(deployment.entryUrl(1 + number % 3), deployment.portalKey(), "arrears", 300));
        }
        Deployment.sleep(500);

        deployment.signal("engine-1", "KILL");

        for (CompletableFuture<HttpResponse<String>> stream : streams) {
            assertThat(StreamText.of(stream.join().body())).isEqualTo(expectedText(300));
        }
    }

    @Test
    void leavingTargetReceivesNoNewRequests() {
        deployment.setHostState("engine-1", "leaving");
        deployment.setHostState("service-1", "leaving");
        Deployment.sleep(4 * SECONDS);
        deployment.setEngineFaults(1, engineFaultsJson(true, 0));

        for (int number = 0; number < 30; number++) {
            assertThat(complete(1 + number % 3, deployment.portalKey()).statusCode())
                    .isEqualTo(200);
        }
    }

    @Test
    void rolledBundleIsInForceOnAllEntriesWithinTenSeconds() {
        assertThat(deployment.roll(1, "second").statusCode()).isEqualTo(200);
        Deployment.await(10 * SECONDS, () -> versions().stream().allMatch(version -> version == 2));

        assertThat(deployment.roll(1, "late").statusCode()).isEqualTo(409);
        assertThat(versions()).allMatch(version -> version == 2);
    }

    private List<Long> versions() {
        return List.of(1, 2, 3).stream()
                .map(entry -> deployment.status(entry).path("version").asLong())
                .toList();
    }

    private CompletableFuture<HttpResponse<String>> pay(int entry, String key) {
        return deployment.pay(deployment.entryUrl(entry), deployment.portalKey(), key, "{\"amount\":7}");
    }

    private HttpResponse<String> complete(int entry, String key) {
        return deployment
                .complete(deployment.entryUrl(entry), key, "invoices", 2)
                .join();
    }

    private int listedEntries(int entry) {
        return deployment
                .json(deployment
                        .send("GET", deployment.entryUrl(entry) + "/v1/entries", Map.of(), "")
                        .join()
                        .body())
                .path("entries")
                .size();
    }

    private JsonNode error(HttpResponse<String> response) {
        return deployment.json(response.body()).path("error");
    }

    private static String engineFaultsJson(boolean silent, int breakAfterTokens) {
        return "{\"silent\":" + silent + ",\"lostOrders\":0,\"lostOrderAnswers\":0,\"orderDelayMillis\":0,"
                + "\"cacheEventGaps\":0,\"leaving\":false,\"breakAfterTokens\":" + breakAfterTokens + "}";
    }

    private static String expectedText(int tokens) {
        return TokenText.answer("When is the next instalment due?".hashCode(), tokens);
    }
}
