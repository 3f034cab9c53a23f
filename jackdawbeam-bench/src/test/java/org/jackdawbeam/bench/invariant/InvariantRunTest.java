package org.jackdawbeam.bench.invariant;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jackdawbeam.logic.entry.EntryOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class InvariantRunTest {

    /** Seeds that violated an invariant before the underlying fault was fixed, and a few others. */
    @ParameterizedTest
    @ValueSource(longs = {19, 38, 46, 1016, 1021, 1035, 1046, 2016, 3010, 4027, 5007, 6040, 7, 77, 777})
    void invariantsHoldUnderRandomFailures(long seed) {
        InvariantRun.Result result = InvariantRun.run(seed, InvariantRun.options());

        assertThat(result.violations()).isEmpty();
        assertThat(result.completed()).isGreaterThan(1_000);
    }

    @Test
    void sharesOverlapIfNobodyWaitsForLeasesToExpire() {
        EntryOptions options = InvariantRun.options();
        long withoutWaiting = -options.timings().leaseMillis();
        EntryOptions wrong = options.withTimings(options.timings().withDriftMillis(withoutWaiting));
        Set<Invariant> broken = new HashSet<>();
        for (long seed : List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L)) {
            InvariantRun.run(seed, wrong).violations().forEach(violation -> broken.add(violation.invariant()));
        }

        assertThat(broken).contains(Invariant.SHARES_ADD_UP);
    }

    @Test
    void equalSeedsGiveEqualRuns() {
        InvariantRun.Result first = InvariantRun.run(5, InvariantRun.options());
        InvariantRun.Result second = InvariantRun.run(5, InvariantRun.options());

        assertThat(second.log()).isEqualTo(first.log());
        assertThat(second.completed()).isEqualTo(first.completed());
    }
}
