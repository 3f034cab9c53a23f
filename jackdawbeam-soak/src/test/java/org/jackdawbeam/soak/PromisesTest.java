package org.jackdawbeam.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jackdawbeam.standin.fleet.FleetSite;
import org.jackdawbeam.standin.fleet.TargetLedger;
import org.junit.jupiter.api.Test;

/** Each promise is broken once, and found. */
class PromisesTest {
    private static final long SENT = 100_000;
    private final Calm calm = new Calm();
    private final TargetLedger ledger = new TargetLedger();
    private final Promises promises = new Promises(calm, ledger);

    private static Call call(RequestKind kind, String key, long sentAt, long endedAt, Outcome outcome) {
        return new Call("r1", kind, key, "entry-1", 1, true, sentAt, endedAt, outcome);
    }

    private static Call call(RequestKind kind, Outcome outcome) {
        return call(kind, FleetSite.KEY, SENT, SENT + 100, outcome);
    }

    private static Outcome answer(int status, String body) {
        return new Outcome.Answered(status, Map.of("request-id", "r1", "server-seal", "engine.r1"), body);
    }

    private static String events(int from, int to) {
        return IntStream.rangeClosed(from, to)
                .mapToObj(number -> "id: " + number + "\ndata: token\n\n")
                .collect(Collectors.joining());
    }

    private void execute(int times) {
        for (int number = 0; number < times; number++) {
            ledger.executed("r1", "target", "household");
        }
    }

    private void assertBroken(String promise) {
        promises.judgeAll();
        assertThat(promises.broken()).singleElement().asString().startsWith("promise=" + promise + " ");
    }

    @Test
    void wholeAnswersBreakNothing() {
        execute(1);
        promises.judge(call(RequestKind.PAYMENT, answer(200, "done r1")));
        promises.judgeAll();

        assertThat(promises.broken()).isEmpty();
    }

    @Test
    void paymentThatRanTwice() {
        execute(2);
        promises.judge(call(RequestKind.PAYMENT, answer(200, "done r1")));

        assertBroken("once_at_most");
    }

    @Test
    void refusalOfARequestThatRan() {
        execute(1);
        promises.judge(call(RequestKind.PAYMENT, answer(503, "")));

        assertBroken("true_refusal");
    }

    @Test
    void answerOfAnotherRequest() {
        promises.judge(call(
                RequestKind.PAYMENT,
                new Outcome.Answered(200, Map.of("request-id", "r2", "server-seal", "engine.r2"), "done r1")));

        assertBroken("own_answer");
    }

    @Test
    void streamThatLooksCompleteWithoutItsEnd() {
        promises.judge(call(RequestKind.CHAT, answer(200, events(1, 4))));

        assertBroken("whole_answer");
    }

    @Test
    void streamWithAnEventTwice() {
        promises.judge(call(RequestKind.LETTER, answer(200, events(1, 4) + events(4, 6))));

        assertBroken("whole_answer");
    }

    @Test
    void validKeyThatIsDenied() {
        promises.judge(call(RequestKind.READ, answer(401, "")));

        assertBroken("denied");
    }

    @Test
    void connectionThatEndsInACalmTime() {
        execute(1);
        promises.judge(call(RequestKind.READ, new Outcome.Broken(false)));

        assertBroken("answer_lost");
    }

    @Test
    void connectionThatEndsWhileItsEntryIsDisturbed() {
        execute(1);
        calm.disturb("entry-1", SENT - 1_000, SENT);
        promises.judge(call(RequestKind.READ, new Outcome.Broken(false)));
        promises.judgeAll();

        assertThat(promises.broken()).isEmpty();
    }

    @Test
    void silenceBeyondTheTimeOfTheRoute() {
        promises.judge(call(RequestKind.READ, FleetSite.KEY, SENT, SENT + 7_000, new Outcome.GivenUp()));

        assertBroken("route_timeout");
    }

    @Test
    void requestWithAKeyThatWasWithdrawnLongAgo() {
        execute(1);
        calm.disturb("entry-1", 0, SENT);
        promises.withdrawn(new Promises.Withdrawal("old", "new", SENT - 6_000));
        promises.judge(call(RequestKind.READ, "old", SENT, SENT + 100, answer(200, "done r1")));

        assertBroken("withdrawal");
    }

    @Test
    void newKeyThatACalmEntryDoesNotKnow() {
        promises.withdrawn(new Promises.Withdrawal("old", "new", SENT - 3_000));
        promises.judge(call(RequestKind.READ, "new", SENT, SENT + 100, answer(401, "")));

        assertBroken("configuration");
    }

    @Test
    void configurationThatComesBack() {
        execute(1);
        promises.withdrawn(new Promises.Withdrawal("old", "new", SENT - 1_500));
        Call newer = call(RequestKind.READ, "new", SENT - 1_000, SENT - 900, answer(200, "done r1"));
        promises.judge(newer);
        promises.judge(call(RequestKind.READ, "old", SENT, SENT + 100, answer(200, "done r1")));

        assertBroken("never_back");
    }

    @Test
    void requestThatNobodySent() {
        execute(1);

        assertBroken("asked_for");
    }

    @Test
    void twoHoldersWithOneToken() {
        ledger.ordered("target", 3, "entry-1");
        ledger.ordered("target", 3, "entry-2");

        assertBroken("one_holder");
    }

    @Test
    void workspaceFarOverItsRate() {
        for (int number = 0; number < 200; number++) {
            ledger.executed("probe-" + number, "target", "small");
        }

        assertBroken("quota");
    }
}
