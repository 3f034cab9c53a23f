package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.jackdawbeam.model.fleet.PromptPart;
import org.jackdawbeam.model.fleet.QuarantineScope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A request that crashes each target that begins to answer it, and that its caller sends again and again. */
class CrashingRequestTest {
    private static final long CRASHING_REQUEST = 0xbad;
    private static final long SHARED_PART = 0x50;
    private static final long CONTACT_MILLIS = 3_000; // the users' limit for entries to learn of something
    private static final int CRASHES_BEFORE_LIMIT = 3;
    private static final int MAX_ARRIVALS_AFTER_LIMIT = 3;
    private static final int ENGINES = 13;
    private static final List<PromptPart> NO_PROMPT = List.of();
    private static final List<PromptPart> PROMPT = List.of(
            new PromptPart(CrashingPromptFleet.FIRST_PART, 500),
            new PromptPart(SHARED_PART, 300),
            new PromptPart(CRASHING_REQUEST, 100));

    private static CrashingPromptFleet fleet(int entries, long seed) {
        CrashingPromptFleet fleet = new CrashingPromptFleet(entries, 3, ENGINES, seed);
        fleet.crashingRequests.add(CRASHING_REQUEST);
        fleet.run(2_000);
        return fleet;
    }

    /** Sends copies of a request to random entries for the given time, beside sound requests. */
    private static void repeat(
            CrashingPromptFleet fleet,
            long millis,
            long intervalMillis,
            String route,
            List<PromptPart> prompt,
            long request) {
        boolean crashing = fleet.crashingRequests.contains(request);
        for (long at = 0; at < millis; at += intervalMillis) {
            fleet.after(at, () -> fleet.call(randomEntry(fleet), crashing, route, prompt, request));
        }
        for (long at = 0; at < millis; at += 100) {
            fleet.after(at, () -> fleet.call(randomEntry(fleet), false, "read", NO_PROMPT));
        }
        fleet.load(millis, 30);
    }

    private static String randomEntry(CrashingPromptFleet fleet) {
        return fleet.entries().get(fleet.randomNumber(fleet.entries().size()));
    }

    /** Returns how many copies reached targets after the third crash and the time to learn of it. */
    private static long arrivalsAfterLimit(CrashingPromptFleet fleet) {
        List<Long> crashes = fleet.crashes.stream().sorted().toList();
        assertThat(crashes).hasSizeGreaterThanOrEqualTo(CRASHES_BEFORE_LIMIT);
        long limit = crashes.get(CRASHES_BEFORE_LIMIT - 1) + CONTACT_MILLIS;
        return fleet.arrivals.stream()
                .filter(arrival -> arrival.atMillis() > limit)
                .count();
    }

    private static Set<Long> quarantined(CrashingPromptFleet fleet, QuarantineScope scope) {
        return fleet.state(fleet.entries().getFirst()).quarantine(scope).activeGroups().stream()
                .flatMap(Set::stream)
                .collect(Collectors.toSet());
    }

    // Guards against a request without a prompt that crashes one copy of a service after the other (BUDGET).
    @ParameterizedTest
    @CsvSource({"read, 1, 300", "read, 2, 50", "read, 3, 1000", "pay, 4, 300", "pay, 5, 50", "pay, 6, 1000"})
    void requestWithoutAPromptThatCrashesServicesStopsReachingThem(String route, long seed, long intervalMillis) {
        CrashingPromptFleet fleet = fleet(8, seed);

        repeat(fleet, 25_000, intervalMillis, route, NO_PROMPT, CRASHING_REQUEST);

        assertThat(arrivalsAfterLimit(fleet)).isLessThanOrEqualTo(MAX_ARRIVALS_AFTER_LIMIT);
    }

    // Guards against a request with a prompt that crashes one engine after the other (BUDGET).
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void requestWithAPromptThatCrashesEnginesStopsReachingThem(long seed) {
        CrashingPromptFleet fleet = fleet(8, seed);

        repeat(fleet, 25_000, 400, "chat", PROMPT, CRASHING_REQUEST);

        assertThat(arrivalsAfterLimit(fleet)).isLessThanOrEqualTo(MAX_ARRIVALS_AFTER_LIMIT);
    }

    // Guards against blaming a shared part of the prompt, and with it sound requests, for a single request.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void copiesOfOneRequestDoNotConvictItsSharedParts(long seed) {
        CrashingPromptFleet fleet = fleet(8, seed);

        repeat(fleet, 25_000, 400, "chat", PROMPT, CRASHING_REQUEST);

        assertThat(quarantined(fleet, QuarantineScope.PROMPT_PARTS)).isEmpty();
        assertThat(fleet.refusedAsQuarantined(false)).isZero();
    }

    // Guards against refusing sound requests whose callers repeat them while targets end for other reasons.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void otherCausesOfLostTargetsQuarantineNoRequest(long seed) {
        CrashingPromptFleet fleet = fleet(8, seed);

        for (int round = 0; round < 20; round++) {
            repeat(fleet, 700, 100, "read", NO_PROMPT, 0x600d);
            fleet.crashService(round % 3);
            for (int engine = 0; engine < ENGINES / 3; engine++) {
                fleet.crash((round + engine) % ENGINES);
            }
            fleet.resetConnections(fleet.entries().get(round % fleet.entries().size()));
        }

        assertThat(fleet.refusedAsQuarantined(false)).isZero();
        assertThat(quarantined(fleet, QuarantineScope.REQUESTS)).isEmpty();
    }

    // Guards against a quarantine that is forgotten when all entries are replaced at once.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void quarantineOutlastsTheLossOfAllEntries(long seed) {
        CrashingPromptFleet fleet = fleet(8, seed);
        repeat(fleet, 10_000, 300, "pay", NO_PROMPT, CRASHING_REQUEST);

        fleet.entries().forEach(fleet::restart);
        repeat(fleet, 10_000, 300, "pay", NO_PROMPT, CRASHING_REQUEST);

        assertThat(fleet.stored()).contains(Set.of(CRASHING_REQUEST));
        assertThat(arrivalsAfterLimit(fleet)).isLessThanOrEqualTo(MAX_ARRIVALS_AFTER_LIMIT);
    }

    // Guards against evidence that is lost with messages between entries, or on its way through hubs.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void evidenceMeetsThroughHubsThatLoseMessages(long seed) {
        CrashingPromptFleet fleet = fleet(32, seed);
        fleet.run(4_000);
        fleet.setMessageLossProbability(0.2);

        repeat(fleet, 20_000, 300, "read", NO_PROMPT, CRASHING_REQUEST);

        assertThat(arrivalsAfterLimit(fleet)).isLessThanOrEqualTo(MAX_ARRIVALS_AFTER_LIMIT);
    }

    // Guards against a caller that quarantines another's request by giving its own prompt part the same id.
    @Test
    void partWithTheIdOfARequestDoesNotQuarantineTheRequest() {
        CrashingPromptFleet fleet = new CrashingPromptFleet(8, 3, ENGINES, 1);
        fleet.crashingParts.add(CRASHING_REQUEST);
        fleet.run(2_000);
        fleet.load(10_000, 50, 0.05, CRASHING_REQUEST);

        fleet.call(fleet.entries().getFirst(), false, "read", NO_PROMPT, CRASHING_REQUEST);
        fleet.run(1_000);

        assertThat(quarantined(fleet, QuarantineScope.PROMPT_PARTS)).contains(CRASHING_REQUEST);
        assertThat(fleet.refusedAsQuarantined(false)).isZero();
    }
}
