package org.jackdawbeam.logic.cost;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Test;

class CostAccountTest {
    private static final double EXPECTED_MILLIS = 200;
    private static final long ANSWER_INTERVAL_MILLIS = 20;

    private final Random random = new Random(1);
    private long nowMillis;

    private static Place place(String model, String engine) {
        return new Place("s", model, engine);
    }

    /** Returns the account after answers of every engine, whose durations are spread around its pace. */
    private CostAccount learnt(CostAccount account, int rounds, double[] models, double[] engines) {
        CostAccount next = account;
        for (int round = 0; round < rounds; round++) {
            for (int model = 0; model < models.length; model++) {
                for (int engine = 0; engine < engines.length; engine++) {
                    nowMillis += ANSWER_INTERVAL_MILLIS;
                    double noise = Math.exp(0.4 * random.nextGaussian());
                    next = next.withPrefill(
                            place("m" + model, "e" + engine),
                            EXPECTED_MILLIS,
                            EXPECTED_MILLIS * models[model] * engines[engine] * noise,
                            nowMillis);
                }
            }
        }
        return next;
    }

    private double factor(CostAccount account, int model, int engine) {
        return account.factor(place("m" + model, "e" + engine), nowMillis);
    }

    @Test
    void slowEngineTakesLongerThanAFastOneOfTheService() {
        CostAccount account = learnt(CostAccount.unknown(), 40, new double[] {1}, new double[] {0.7, 1, 1, 1.7});

        assertThat(factor(account, 0, 3) / factor(account, 0, 0)).isBetween(1.5, 3.2);
    }

    @Test
    void modelsElevenfoldApartDifferOnTheSameEngine() {
        CostAccount account = learnt(CostAccount.unknown(), 40, new double[] {0.3, 1, 3.3}, new double[] {1, 1});

        assertThat(factor(account, 2, 0) / factor(account, 0, 0)).isBetween(6.0, 14.0);
    }

    @Test
    void alikeEnginesAndModelsKeepThePaceOfTheService() {
        CostAccount account = learnt(CostAccount.unknown(), 40, new double[] {1, 1}, new double[] {1, 1, 1, 1});

        for (int engine = 0; engine < 4; engine++) {
            assertThat(factor(account, 0, engine)).isCloseTo(1, within(0.15));
        }
    }

    @Test
    void fewAnswersChangeNothing() {
        CostAccount account = learnt(CostAccount.unknown(), 1, new double[] {8}, new double[] {1, 1});

        assertThat(factor(account, 0, 0)).isEqualTo(1);
    }

    @Test
    void oneOutlierDoesNotMakeAnEngineSlow() {
        CostAccount account = learnt(CostAccount.unknown(), 20, new double[] {1}, new double[] {1, 1, 1});

        CostAccount after = account.withPrefill(place("m0", "e0"), EXPECTED_MILLIS, 100 * EXPECTED_MILLIS, nowMillis);

        assertThat(factor(after, 0, 0)).isCloseTo(1, within(0.2));
    }

    @Test
    void engineThatRecoversIsAtTheUsualPaceAgain() {
        CostAccount slow = learnt(CostAccount.unknown(), 30, new double[] {1}, new double[] {4, 1, 1, 1});
        assertThat(factor(slow, 0, 0)).isGreaterThan(2);

        CostAccount recovered = learnt(slow, 60, new double[] {1}, new double[] {1, 1, 1, 1});

        assertThat(factor(recovered, 0, 0)).isCloseTo(1, within(0.3));
    }

    @Test
    void paceOfAnEngineWithoutAnswersIsForgotten() {
        CostAccount slow = learnt(CostAccount.unknown(), 30, new double[] {1}, new double[] {4, 1, 1, 1});
        nowMillis += 120_000;

        assertThat(factor(slow, 0, 0)).isCloseTo(1, within(0.05));
    }

    @Test
    void memoryIsBoundedByDroppingTheOldest() {
        CostAccount account = CostAccount.unknown();
        for (int number = 0; number < 2 * CostAccount.MAX_ENTRIES; number++) {
            account = account.withPrefill(place("m" + number, "e" + number), 1, 1, number);
        }

        int newest = 2 * CostAccount.MAX_ENTRIES - 1;
        assertThat(account.models()).hasSize(CostAccount.MAX_ENTRIES).containsKey("s/m" + newest);
        assertThat(account.engines()).hasSize(CostAccount.MAX_ENTRIES).doesNotContainKey("e0");
    }

    @Test
    void shareOfStatedOutputIsLearntFromWholeAnswers() {
        CostAccount account = CostAccount.unknown();
        assertThat(account.outputShare("s", 0)).isZero();
        for (int answer = 0; answer < 10; answer++) {
            account = account.withDecoding(place("m", "e"), 1_000, 500, answer);
        }

        assertThat(account.outputShare("s", 10)).isCloseTo(0.5, within(0.01));
    }
}
