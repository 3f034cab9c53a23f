package org.jackdawbeam.bench.logs;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SizeTableTest {
    private final SizeTable table = new SizeTable();

    private void add(String line) {
        table.add(LogLine.parse(line).orElseThrow());
    }

    private void started(int number, long inputTokens) {
        add("1.0 host-1 event=attempt_started request=r" + number + " request_number=" + number
                + " route=chat input_tokens=" + inputTokens + " output_tokens=10");
    }

    @Test
    void largestRequestsAreComparedWithTheOthersOfTheirRoute() {
        for (int number = 1; number <= 20; number++) {
            started(number, 100L * number);
            if (number <= 10) {
                add("2.0 host-1 event=attempt_completed request_number=" + number + " attempt=1");
            }
        }
        add("2.0 host-1 event=request_refused request=r20 request_number=20 code=QUEUE_FULL"
                + " input_tokens=2000 output_tokens=10");
        add("2.0 host-1 event=caller_left request=r18 request_number=18");

        assertThat(table.lines())
                .contains(
                        "chat, largest tenth  2  2000-2100  0.00  {QUEUE_FULL=1, unfinished=1}",
                        "chat, fifth below  4  1600-1900  0.00  {caller_left=1, unfinished=3}",
                        "chat, rest  14  200-1500  0.71  {unfinished=4}");
    }

    @Test
    void requestsWithTheSameNumberOnTwoHostsAreDistinguished() {
        for (int number = 1; number <= 20; number++) {
            started(number, 100);
        }
        add("1.0 host-2 event=attempt_started request=x request_number=1 route=other input_tokens=5 output_tokens=1");
        add("2.0 host-2 event=attempt_completed request_number=1 attempt=1");

        assertThat(table.lines()).contains("chat, largest tenth  2  200-200  0.00  {unfinished=2}");
    }
}
