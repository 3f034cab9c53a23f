package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.jackdawbeam.model.fleet.PromptPart;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A request that crashes each target that begins to answer it, and that its caller sends again and again. */
class CrashingRequestTest {
    private static final long CRASHING_REQUEST = 0xbad;
    private static final long SHARED_PART = 0x50;
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

    private static Set<Long> quarantined(CrashingPromptFleet fleet) {
        return fleet.state(fleet.entries().getFirst()).quarantine().activeGroups().stream()
                .flatMap(Set::stream)
                .collect(Collectors.toSet());
    }

    // Guards against blaming a shared part of the prompt, and with it sound requests, for a single request.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void copiesOfOneRequestDoNotConvictItsSharedParts(long seed) {
        CrashingPromptFleet fleet = fleet(8, seed);

        repeat(fleet, 25_000, 400, "chat", PROMPT, CRASHING_REQUEST);

        assertThat(quarantined(fleet)).isEmpty();
        assertThat(fleet.refusedAsQuarantined(false)).isZero();
    }
}
