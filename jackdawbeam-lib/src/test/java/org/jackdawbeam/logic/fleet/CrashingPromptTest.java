package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jackdawbeam.model.fleet.PromptPart;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A part of a prompt crashes each engine that begins to answer it, in a fleet of several entries. */
class CrashingPromptTest {
    private static final long CRASHING_PART = 0xbad;
    private static final long OTHER_CRASHING_PART = 0xdead;
    private static final long CONTACT_MILLIS = 3_000; // the users' limit for entries to learn of something
    private static final int CRASHES_BEFORE_LIMIT = 5;
    private static final int MAX_ARRIVALS_AFTER_LIMIT = 3;
    private static final int ENGINES = 13;

    private static CrashingPromptFleet fleet(int entries, long seed) {
        CrashingPromptFleet fleet = new CrashingPromptFleet(entries, 3, ENGINES, seed);
        fleet.crashingParts.add(CRASHING_PART);
        fleet.run(2_000);
        return fleet;
    }

    /** Returns the time of the fifth crash, or of the last one if there are fewer. */
    private static long fifthCrashMillis(CrashingPromptFleet fleet) {
        List<Long> crashes = fleet.crashes.stream().sorted().toList();
        return crashes.get(Math.min(CRASHES_BEFORE_LIMIT, crashes.size()) - 1);
    }

    /** Returns how many requests with the part reached engines after the fifth crash and the time to learn of it. */
    private static long arrivalsAfterLimit(CrashingPromptFleet fleet) {
        if (fleet.crashes.size() < CRASHES_BEFORE_LIMIT) {
            return 0;
        }
        long limit = fifthCrashMillis(fleet) + CONTACT_MILLIS;
        return fleet.arrivals.stream()
                .filter(arrival -> arrival.atMillis() > limit)
                .count();
    }

    // Guards against requests with the same part of a prompt crashing one engine after the other (BUDGET).
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void requestsWithAPartThatCrashesEnginesStopReachingEngines(long seed) {
        CrashingPromptFleet fleet = fleet(8, seed);

        fleet.load(25_000, 50, 0.05, CRASHING_PART);

        assertThat(arrivalsAfterLimit(fleet)).isLessThanOrEqualTo(MAX_ARRIVALS_AFTER_LIMIT);
    }

    // Guards against sound requests being lost beside those that crash engines (LOST).
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void soundRequestsAreServedBesideThoseThatCrashEngines(long seed) {
        CrashingPromptFleet fleet = fleet(8, seed);

        fleet.load(25_000, 50, 0.05, CRASHING_PART);

        assertThat(fleet.answeredShare(fifthCrashMillis(fleet) + 2 * CONTACT_MILLIS, fleet.nowMillis() - 2_000))
                .isGreaterThan(0.5);
        assertThat(fleet.refusedAsQuarantined(false)).isZero();
    }

    // Guards against evidence that is lost with messages between entries, or on its way through hubs.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void evidenceMeetsThroughHubsThatLoseMessages(long seed) {
        CrashingPromptFleet fleet = fleet(32, seed);
        fleet.run(4_000);
        fleet.setMessageLossProbability(0.2);

        fleet.load(20_000, 50, 0.05, CRASHING_PART);

        assertThat(arrivalsAfterLimit(fleet)).isLessThanOrEqualTo(MAX_ARRIVALS_AFTER_LIMIT);
    }

    // Guards against a quarantine that is forgotten when all entries are replaced at once.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void quarantineOutlastsTheLossOfAllEntries(long seed) {
        CrashingPromptFleet fleet = fleet(8, seed);
        fleet.load(10_000, 50, 0.05, CRASHING_PART);

        fleet.entries().forEach(fleet::restart);
        fleet.load(10_000, 50, 0.05, CRASHING_PART);

        assertThat(fleet.stored()).contains(Set.of(CRASHING_PART));
        assertThat(arrivalsAfterLimit(fleet)).isLessThanOrEqualTo(MAX_ARRIVALS_AFTER_LIMIT);
    }

    // Guards against two parts of different requests hiding each other.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void twoPartsThatCrashEnginesAreBothQuarantined(long seed) {
        CrashingPromptFleet fleet = fleet(8, seed);
        fleet.crashingParts.add(OTHER_CRASHING_PART);

        for (int round = 0; round < 20; round++) {
            fleet.load(500, 50, 0.08, round % 2 == 0 ? CRASHING_PART : OTHER_CRASHING_PART);
        }

        assertThat(fleet.state(fleet.entries().getFirst()).quarantine().activeGroups())
                .contains(Set.of(CRASHING_PART), Set.of(OTHER_CRASHING_PART));
    }

    // Guards against blaming prompts for engines that end for another reason.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void otherCausesOfLostEnginesQuarantineNothing(long seed) {
        CrashingPromptFleet fleet = fleet(8, seed);

        for (int round = 0; round < 20; round++) {
            fleet.load(700, 50);
            for (int engine = 0; engine < ENGINES / 3; engine++) {
                fleet.crash((round + engine) % ENGINES);
            }
            fleet.load(100, 50);
            fleet.resetConnections(fleet.entries().get(round % fleet.entries().size()));
            for (int engine = 0; engine < ENGINES; engine++) {
                fleet.resetOneConnection(engine);
            }
        }

        assertThat(fleet.refusedAsQuarantined(false)).isZero();
        assertThat(fleet.state(fleet.entries().getFirst()).quarantine().activeGroups())
                .isEmpty();
    }

    // Guards against convicting the parts of other callers that a caller adds to its own.
    @Test
    void partThatAlwaysCameWithACrashingOneIsStillServedWithoutIt() {
        long companion = 0xc0;
        CrashingPromptFleet fleet = fleet(8, 1);
        for (int number = 0; number < 6; number++) {
            fleet.call(
                    fleet.entries().get(number),
                    true,
                    "chat",
                    List.of(part(companion), part(CRASHING_PART), part(0x100 + number)));
            fleet.run(500);
        }

        fleet.call(fleet.entries().getFirst(), false, "chat", List.of(part(companion), part(0x200)));
        fleet.run(1_000);

        assertThat(fleet.outcomes.values().stream().filter(outcome -> !outcome.crashing()))
                .allMatch(CrashingPromptFleet.Outcome::answered);
        assertThat(fleet.state(fleet.entries().getFirst()).quarantine().activeGroups())
                .containsExactly(Set.of(CRASHING_PART));
    }

    // Guards against a refusal that claims that a request which may have run has not run.
    @Test
    void refusalTellsWhetherTheRequestMayHaveRun() {
        CrashingPromptFleet fleet = fleet(8, 1);

        fleet.load(10_000, 50, 0.05, CRASHING_PART);

        Set<String> sent = new HashSet<>();
        fleet.arrivals.forEach(arrival -> sent.add(arrival.request()));
        assertThat(fleet.refusedAsQuarantined(true)).isPositive();
        fleet.outcomes.forEach((request, outcome) -> outcome.refusal()
                .filter(refusal -> outcome.crashing())
                .ifPresent(refusal -> assertThat(refusal.ran() == ExecutionStatus.NO && sent.contains(request))
                        .isFalse()));
    }

    // Guards against a quarantine without a way back, and against trials that cost an engine at each entry.
    @Test
    void oneTrialInTheFleetReleasesAPartThatNoLongerCrashesEngines() {
        CrashingPromptFleet fleet = fleet(8, 1);
        fleet.load(5_000, 50, 0.05, CRASHING_PART);
        int before = fleet.arrivals.size();
        fleet.load(32_000, 50, 0.05, CRASHING_PART);
        int trials = fleet.arrivals.size() - before;
        fleet.crashingParts.clear();

        fleet.load(65_000, 50, 0.05, CRASHING_PART);

        assertThat(trials).isLessThanOrEqualTo(1);
        assertThat(fleet.entries())
                .allMatch(
                        entry -> fleet.state(entry).quarantine().activeGroups().isEmpty());
        assertThat(fleet.stored()).isEmpty();
    }

    private static PromptPart part(long id) {
        return new PromptPart(id, 200);
    }
}
