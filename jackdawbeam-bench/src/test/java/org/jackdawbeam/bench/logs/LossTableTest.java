package org.jackdawbeam.bench.logs;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LossTableTest {
    private final LossTable table = new LossTable();

    private void add(String line) {
        table.add(LogLine.parse(line).orElseThrow());
    }

    @Test
    void waitsAreAddedUpByModelAndEnd() {
        add("  1.5 host-1 level=INFO event=request_waiting request=a model=m1 reason=\"no engine holds the model\"");
        add("  2.0 host-1 level=INFO event=request_waiting request=b model=m1 reason=\"no engine holds the model\"");
        add("  3.5 host-1 level=INFO event=attempt_started request=a target=e1");
        add("  6.0 host-1 level=INFO event=caller_left request=b");

        assertThat(table.lines()).contains("2  4.00  4.00  1  0  1  m1, no engine holds the model");
    }

    @Test
    void refusalsAreAddedUpByCodeAndReasonWithoutFigures() {
        add("-0.5 host-1 event=request_refused request=a code=QUEUE_FULL reason=\"expected in 700 ms\"");
        add("0.5 host-2 event=request_refused request=b code=QUEUE_FULL reason=\"expected in 900 ms\"");

        assertThat(table.lines()).contains("2  QUEUE_FULL, expected in N ms");
    }

    @Test
    void runtimeOutputIsIgnored() {
        assertThat(LogLine.parse("1.5 host-1 [0.04s][error][cds] Disabling optimized module handling"))
                .isEmpty();
        assertThat(LogLine.parse("worth 0.6 = whole day")).isEmpty();
    }
}
