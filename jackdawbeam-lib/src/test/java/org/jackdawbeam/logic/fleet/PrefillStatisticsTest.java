package org.jackdawbeam.logic.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Optional;
import java.util.Random;
import org.jackdawbeam.model.request.AttemptId;
import org.junit.jupiter.api.Test;

class PrefillStatisticsTest {
    private static final long PROMPT = 9_000;

    private static PrefillStatistics after(int answers, double tokensPerMillisecond, double cachedShare) {
        Random random = new Random(1);
        PrefillStatistics statistics = PrefillStatistics.unknown();
        for (int answer = 0; answer < answers; answer++) {
            double processed = random.nextDouble() < cachedShare ? PROMPT / 4.0 : PROMPT;
            statistics = statistics.withPrefill(
                    PROMPT, processed / tokensPerMillisecond * (0.8 + 0.4 * random.nextDouble()));
        }
        return statistics;
    }

    @Test
    void speedOfFastEnginesIsLearntWithinTwentyAnswers() {
        assertThat(after(20, 38, 0).tokensPerMillisecond()).isBetween(28.0, 48.0);
    }

    @Test
    void speedOfSlowEnginesIsLearntWithinFortyAnswers() {
        assertThat(after(40, 4, 0).tokensPerMillisecond()).isBetween(2.5, 6.0);
    }

    @Test
    void unknownCacheHitsRaiseTheSpeedOnlySlightly() {
        assertThat(after(200, 20, 0.3).tokensPerMillisecond()).isLessThan(30);
    }

    @Test
    void speedStaysWithinBounds() {
        PrefillStatistics fast = PrefillStatistics.unknown();
        PrefillStatistics slow = PrefillStatistics.unknown();
        for (int answer = 0; answer < 1_000; answer++) {
            fast = fast.withPrefill(Long.MAX_VALUE, -1e9);
            slow = slow.withPrefill(PROMPT, 1e12);
        }

        assertThat(fast.tokensPerMillisecond()).isFinite().isPositive();
        assertThat(slow.tokensPerMillisecond()).isPositive();
    }

    @Test
    void shortPromptsAreIgnored() {
        assertThat(PrefillStatistics.unknown().withPrefill(100, 1_000)).isEqualTo(PrefillStatistics.unknown());
    }

    @Test
    void typicalPromptLengthFollowsRequests() {
        PrefillStatistics statistics = PrefillStatistics.unknown();
        for (int request = 0; request < 60; request++) {
            statistics = statistics.withRequestedPrompt(PROMPT);
        }

        assertThat(statistics.promptTokens()).isCloseTo(PROMPT, within(100.0));
    }

    /** Load pattern: a burst of long prompts at engines with twice the initial prefill speed. */
    @Test
    void burstOfLongPromptsIsServedByEnginesKnownToBeFast() {
        FleetFixture fixture = FleetFixture.serving(FleetFixture.engine("e1", "m1"));
        fixture.configure(FleetFixture.generousConfiguration(2));
        for (int answer = 0; answer < 30; answer++) {
            fixture.arrive("chat", FleetFixture.KEY, Optional.of("m1"), Optional.empty(), PROMPT);
            AttemptId attempt = fixture.only(FleetEffect.StartAttempt.class).attempt();
            fixture.advanceWithStoreReads(250);
            fixture.answer(attempt, 200, false);
            fixture.apply(new FleetEvent.AttemptStreaming(fixture.nowMillis, attempt));
            fixture.apply(new FleetEvent.AttemptCompleted(fixture.nowMillis, attempt, 0));
        }

        int served = 0;
        for (int request = 0; request < 2; request++) {
            fixture.arrive("chat", FleetFixture.KEY, Optional.of("m1"), Optional.empty(), PROMPT);
            served += fixture.all(FleetEffect.StartAttempt.class).size();
        }

        assertThat(served).isEqualTo(2);
    }

    /** Load pattern: all hosts restart under load, so that the learnt prefill speed is lost. */
    @Test
    void fewAnswersShowASpeedOfTwiceTheInitialValue() {
        PrefillStatistics statistics = PrefillStatistics.unknown();
        double initial = statistics.tokensPerMillisecond();

        for (int answer = 0; answer < 5; answer++) {
            statistics = statistics.withPrefill(8_000, 8_000 / (2 * initial));
        }

        assertThat(statistics.tokensPerMillisecond()).isBetween(1.8 * initial, 2.5 * initial);
    }

    @Test
    void durationOfLongRunsIsLearnt() {
        PrefillStatistics statistics = PrefillStatistics.unknown();
        for (int answer = 0; answer < 200; answer++) {
            statistics = statistics.withCompletedRun(answer % 10 == 0 ? 9_000 : 500);
        }

        assertThat(statistics.longRunMillis()).isBetween(500.0, 9_000.0);
        assertThat(statistics.withCompletedRun(20_000).longRunMillis()).isGreaterThan(statistics.longRunMillis());
    }

    @Test
    void uncachedShareIsLearnt() {
        PrefillStatistics statistics = PrefillStatistics.unknown();
        for (int request = 0; request < 200; request++) {
            statistics = statistics.withRequestedPrompt(8_000).withSentPrompt(8_000, 2_000);
        }

        assertThat(statistics.uncachedShare()).isBetween(0.24, 0.3);
    }
}
