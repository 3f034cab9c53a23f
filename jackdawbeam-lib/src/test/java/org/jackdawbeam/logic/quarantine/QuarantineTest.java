package org.jackdawbeam.logic.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.jackdawbeam.model.fleet.QuarantineReport;
import org.jackdawbeam.model.fleet.QuarantineScope;
import org.jackdawbeam.net.codec.MessageMapper;
import org.junit.jupiter.api.Test;

class QuarantineTest {
    private static final long SHARED = 1;
    private static final long BAD = 2;
    private static final long NOW = 1_000_000;

    private Quarantine quarantine = Quarantine.empty(QuarantineScope.PROMPT_PARTS);

    private static Incarnation engine(int number) {
        return new Incarnation("e" + number, 7);
    }

    /** Loses an engine at the given second, under a request that was sent half a second before. */
    private void lose(int engine, long request, int second, Long... parts) {
        long atMillis = NOW + second * 1_000L;
        quarantine = quarantine
                .withLoss(engine(engine), request, atMillis - 500, List.of(parts), atMillis)
                .withNewGroups(atMillis);
    }

    private void answer(int engine, int second, Long... parts) {
        long atMillis = NOW + second * 1_000L;
        quarantine = quarantine.withAnswer(engine(engine), atMillis - 50, List.of(parts), atMillis);
    }

    private void loseThreeEngines() {
        lose(1, 11, 1, SHARED, BAD);
        answer(9, 2, SHARED);
        lose(2, 12, 3, SHARED, BAD);
        answer(9, 4, SHARED);
        lose(3, 13, 5, SHARED, BAD);
    }

    @Test
    void partUnderWhichThreeEnginesWereLostIsQuarantinedWithoutThePartsThatWereAnswered() {
        loseThreeEngines();

        answer(9, 6, SHARED);

        assertThat(quarantine.activeGroups()).containsExactly(Set.of(BAD));
        assertThat(quarantine.findGroups(List.of(SHARED, BAD))).hasSize(1);
        assertThat(quarantine.findGroups(List.of(SHARED))).isEmpty();
    }

    @Test
    void enginesLostTogetherCountOnce() {
        for (int engine = 1; engine <= 6; engine++) {
            lose(engine, 10 + engine, 1, BAD);
        }

        assertThat(quarantine.activeGroups()).isEmpty();
        assertThat(quarantine.countLosses(List.of(BAD))).isEqualTo(1);
    }

    @Test
    void oneRequestThatLosesAllItsEnginesProvesNothingAboutItsParts() {
        for (int engine = 1; engine <= 6; engine++) {
            lose(engine, 11, engine, BAD);
        }

        assertThat(quarantine.activeGroups()).isEmpty();
    }

    /** Guards against a part in constant use that is refused everywhere because its answers were not known in time. */
    @Test
    void answerAtAnotherEntrySinceTheFirstLossReleasesAPart() {
        lose(1, 11, 1, SHARED);
        Quarantine other = Quarantine.empty(QuarantineScope.PROMPT_PARTS)
                .merge(quarantine.report(true, NOW + 1_000), NOW + 1_000)
                .withAnswer(engine(9), NOW + 1_100, List.of(SHARED), NOW + 1_200);
        lose(2, 12, 2, SHARED);
        lose(3, 13, 3, SHARED);
        assertThat(quarantine.activeGroups()).containsExactly(Set.of(SHARED));

        Quarantine told = exchange(other, quarantine, NOW + 3_100);
        quarantine = exchange(quarantine, told, NOW + 3_200);

        assertThat(told.activeGroups()).isEmpty();
        assertThat(quarantine.activeGroups()).isEmpty();
    }

    @Test
    void answerAtAnotherEntryBeforeTheFirstLossReleasesNothing() {
        Quarantine other = Quarantine.empty(QuarantineScope.PROMPT_PARTS)
                .withAnswer(engine(9), NOW + 400, List.of(BAD), NOW + 450);
        lose(1, 11, 1, BAD);
        other = exchange(other, quarantine, NOW + 1_500);
        lose(2, 12, 2, BAD);
        lose(3, 13, 3, BAD);

        other = exchange(other, quarantine, NOW + 3_100);
        quarantine = exchange(quarantine, other, NOW + 3_200);

        assertThat(other.activeGroups()).containsExactly(Set.of(BAD));
        assertThat(quarantine.activeGroups()).containsExactly(Set.of(BAD));
    }

    private static Quarantine exchange(Quarantine receiver, Quarantine sender, long nowMillis) {
        return receiver.merge(sender.report(true, nowMillis), nowMillis).withNewGroups(nowMillis);
    }

    @Test
    void engineThatAnswersALaterRequestHasOnlyResetAConnection() {
        lose(1, 11, 1, BAD);
        lose(2, 12, 2, BAD);
        answer(2, 3, SHARED);

        lose(3, 13, 4, BAD);

        assertThat(quarantine.activeGroups()).isEmpty();
    }

    @Test
    void partThatWasAnsweredJustBeforeIsNotSuspected() {
        answer(9, 1, BAD);

        lose(1, 11, 1, BAD);

        assertThat(quarantine.countLosses(List.of(BAD))).isZero();
    }

    @Test
    void groupIsNarrowedToThePartUnderWhichAnEngineIsLostAlone() {
        long companion = 3;
        lose(1, 11, 1, companion, BAD);
        lose(2, 12, 3, companion, BAD);
        lose(3, 13, 5, companion, BAD);
        assertThat(quarantine.activeGroups()).containsExactly(Set.of(companion, BAD));

        lose(4, 14, 7, BAD);

        assertThat(quarantine.findGroups(List.of(BAD))).containsExactly(Set.of(BAD));
        assertThat(quarantine.findGroups(List.of(companion))).isEmpty();
    }

    @Test
    void answeredGroupIsReleasedAndStaysReleasedWhenOldReportsArrive() {
        loseThreeEngines();
        QuarantineReport old = quarantine.report(true, NOW + 6_000);

        answer(9, 7, SHARED, BAD);
        quarantine = quarantine.merge(old, NOW + 8_000).withNewGroups(NOW + 8_000);

        assertThat(quarantine.activeGroups()).isEmpty();
    }

    @Test
    void releasedGroupIsQuarantinedAgainByNewLosses() {
        loseThreeEngines();
        quarantine = quarantine.withReleased(Set.of(BAD), NOW + 6_000);

        for (int engine = 4; engine <= 6; engine++) {
            lose(engine, 10 + engine, 3 + 2 * engine, BAD);
        }

        assertThat(quarantine.activeGroups()).containsExactly(Set.of(BAD));
    }

    @Test
    void trialsBecomeLessFrequent() {
        loseThreeEngines();
        Set<Long> group = Set.of(BAD);
        quarantine = quarantine.withAnswer(engine(9), NOW + 5_900, List.of(SHARED), NOW + 6_000);
        long first = quarantine.entries().get(group).nextTrialAtMillis() - NOW - 5_000;

        quarantine = quarantine.withTrial(group, 77, NOW + 40_000);

        assertThat(quarantine.entries().get(group).nextTrialAtMillis() - NOW - 40_000)
                .isGreaterThanOrEqualTo(2 * first - 1_000);
    }

    @Test
    void mergingIsIndependentOfOrderAndRepetition() {
        List<QuarantineReport> reports = new ArrayList<>();
        for (int number = 1; number <= 5; number++) {
            Quarantine other = Quarantine.empty(QuarantineScope.PROMPT_PARTS)
                    .withLoss(
                            engine(number),
                            10 + number,
                            NOW + number * 900,
                            List.of(SHARED, BAD),
                            NOW + number * 1_000);
            other = number % 2 == 0
                    ? other.withAnswer(engine(9), NOW, List.of(SHARED), NOW + number * 1_000 + 10)
                    : other;
            reports.add(other.report(true, NOW + 6_000));
        }
        reports.addAll(List.copyOf(reports));
        Set<List<Set<Long>>> results = new HashSet<>();

        for (int seed = 0; seed < 20; seed++) {
            Collections.shuffle(reports, new Random(seed));
            Quarantine merged = Quarantine.empty(QuarantineScope.PROMPT_PARTS);
            for (QuarantineReport report : reports) {
                merged = merged.merge(report, NOW + 6_000);
            }
            results.add(merged.withNewGroups(NOW + 6_000).activeGroups());
        }

        assertThat(results).hasSize(1);
        assertThat(results.iterator().next()).hasSize(1);
    }

    // Guards against callers who fill the memory or the heartbeats with parts of their own.
    @Test
    void evidenceIsBoundedWhateverCallersSend() {
        Random random = new Random(1);
        for (int number = 0; number < 500; number++) {
            Long[] parts =
                    LongStream.range(0, 300).mapToObj(part -> random.nextLong()).toArray(Long[]::new);
            lose(number, number, number % 50, parts);
            answer(9, number % 50, parts[0]);
        }

        assertThat(quarantine.losses().size()).isLessThanOrEqualTo(64);
        assertThat(quarantine.answeredAtMillis().size()).isLessThanOrEqualTo(4_100);
        assertThat(MessageMapper.messagePack().write(quarantine.report(true, NOW + 51_000)).length)
                .isLessThan(16 * 1_024);
    }

    // Guards against endless work when there are more groups than places for them.
    @Test
    void moreGroupsThanPlacesAreReplacedOldestFirst() {
        for (int group = 0; group < 100; group++) {
            for (int number = 0; number < 3; number++) {
                lose(3 * group + number, 3 * group + number, 3 * group + number, 1_000L + group);
            }
            quarantine = quarantine.touch(NOW + 3_000L * group).withNewGroups(NOW + 3_000L * group);
        }

        assertThat(quarantine.entries()).hasSize(64);
        assertThat(quarantine.findGroups(List.of(1_099L))).hasSize(1);
    }

    @Test
    void oldEvidenceIsForgotten() {
        lose(1, 11, 1, BAD);

        assertThat(quarantine.expire(NOW + 400_000).losses()).isEmpty();
    }
}
