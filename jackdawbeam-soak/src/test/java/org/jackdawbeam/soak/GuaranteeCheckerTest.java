package org.jackdawbeam.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jackdawbeam.standin.fleet.FleetSite;
import org.jackdawbeam.standin.fleet.TargetLedger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Violates each guarantee and checks that the violation is reported. */
class GuaranteeCheckerTest {
    private static final long SENT = 100_000;
    private final DisturbanceLog disturbances = new DisturbanceLog();
    private final TargetLedger ledger = new TargetLedger();
    private final GuaranteeChecker checker = new GuaranteeChecker(disturbances, ledger);

    private static Call call(RequestKind kind, String key, long sentAt, long endedAt, Outcome outcome) {
        return new Call("r1", kind, key, "entry-1", 1, true, sentAt, endedAt, outcome);
    }

    private static Call call(RequestKind kind, Outcome outcome) {
        return call(kind, FleetSite.KEY, SENT, SENT + 100, outcome);
    }

    private Outcome answer(int status, String body) {
        ledger.recordAnswer("r1", status, "engine.r1");
        return sealed(status, body);
    }

    private static Outcome sealed(int status, String body) {
        return new Outcome.Answered(status, Map.of("request-id", "r1", "server-seal", "engine.r1"), body);
    }

    private static Outcome refusal(int status) {
        return new Outcome.Answered(status, Map.of("request-id", "r1"), "");
    }

    private static String events(int from, int to) {
        return IntStream.rangeClosed(from, to)
                .mapToObj(number -> "id: " + number + "\ndata: token\n\n")
                .collect(Collectors.joining());
    }

    private void execute(int times) {
        for (int number = 0; number < times; number++) {
            ledger.recordExecution("r1", "target", "household");
        }
    }

    private void assertViolation(String promise) {
        checker.checkWholeRun();
        assertThat(checker.violations()).singleElement().asString().startsWith("promise=" + promise + " ");
    }

    @Test
    void wholeAnswerViolatesNothing() {
        execute(1);
        checker.check(call(RequestKind.PAYMENT, answer(200, "done r1")));
        checker.checkWholeRun();

        assertThat(checker.violations()).isEmpty();
    }

    @Test
    void answerThatIsNotValidHttp() {
        checker.check(call(RequestKind.READ, new Outcome.Malformed("HTTP/1.1 0 Unknown Status (0)")));

        assertViolation("own_answer");
    }

    @Test
    void paymentThatRanTwice() {
        execute(2);
        checker.check(call(RequestKind.PAYMENT, answer(200, "done r1")));

        assertViolation("once_at_most");
    }

    @Test
    void refusalOfARequestThatRan() {
        execute(1);
        checker.check(call(RequestKind.PAYMENT, refusal(503)));

        assertViolation("true_refusal");
    }

    @Test
    void answerOfAnotherRequest() {
        checker.check(call(
                RequestKind.PAYMENT,
                new Outcome.Answered(200, Map.of("request-id", "r2", "server-seal", "engine.r2"), "done r1")));

        assertViolation("own_answer");
    }

    // Guards against the status of one answer with the id, seal and body of another.
    @ParameterizedTest
    @CsvSource({"200, 500", "500, 200"})
    void answerWithAnotherStatusThanTheTargetGaveFirst(int first, int received) {
        ledger.recordAnswer("r1", first, "engine.r1");
        checker.check(call(RequestKind.PAYMENT, sealed(received, "done r1")));

        assertViolation("own_answer");
    }

    // Guards against the answer of a target that never got the request.
    @Test
    void answerWithTheSealOfAnotherTarget() {
        ledger.recordAnswer("r1", 200, "engine-2.r1");
        checker.check(call(RequestKind.PAYMENT, sealed(200, "done r1")));

        assertViolation("own_answer");
    }

    // Guards against a failure of the target whose body is cut off or that of another request.
    @Test
    void failureOfATargetWithAnotherBody() {
        checker.check(call(RequestKind.PAYMENT, answer(500, "done r2")));

        assertViolation("whole_answer");
    }

    @Test
    void failureOfATargetThatArrivesAsGivenViolatesNothing() {
        checker.check(call(RequestKind.PAYMENT, answer(500, "done r1")));
        checker.checkWholeRun();

        assertThat(checker.violations()).isEmpty();
    }

    @Test
    void streamThatLooksCompleteWithoutItsEnd() {
        checker.check(call(RequestKind.CHAT, answer(200, events(1, 4))));

        assertViolation("whole_answer");
    }

    @Test
    void streamWithAnEventTwice() {
        checker.check(call(RequestKind.LETTER, answer(200, events(1, 4) + events(4, 6))));

        assertViolation("whole_answer");
    }

    @Test
    void validKeyThatIsDenied() {
        checker.check(call(RequestKind.READ, refusal(401)));

        assertViolation("denied");
    }

    @Test
    void connectionThatEndsWithoutDisturbance() {
        execute(1);
        checker.check(call(RequestKind.READ, new Outcome.Broken(false)));

        assertViolation("answer_lost");
    }

    @Test
    void connectionThatEndsWhileItsEntryIsDisturbed() {
        execute(1);
        disturbances.record("entry-1", SENT - 1_000, SENT);
        checker.check(call(RequestKind.READ, new Outcome.Broken(false)));
        checker.checkWholeRun();

        assertThat(checker.violations()).isEmpty();
    }

    @Test
    void noAnswerWithinTheRouteTimeout() {
        checker.check(call(RequestKind.READ, FleetSite.KEY, SENT, SENT + 7_000, new Outcome.GivenUp()));

        assertViolation("route_timeout");
    }

    @Test
    void requestWithAKeyThatWasWithdrawnLongAgo() {
        execute(1);
        disturbances.record("entry-1", 0, SENT);
        checker.recordWithdrawal(new GuaranteeChecker.Withdrawal("old", "new", SENT - 6_000));
        checker.check(call(RequestKind.READ, "old", SENT, SENT + 100, answer(200, "done r1")));

        assertViolation("withdrawal");
    }

    @Test
    void newKeyThatAnUndisturbedEntryDoesNotKnow() {
        checker.recordWithdrawal(new GuaranteeChecker.Withdrawal("old", "new", SENT - 3_000));
        checker.check(call(RequestKind.READ, "new", SENT, SENT + 100, refusal(401)));

        assertViolation("configuration");
    }

    @Test
    void olderConfigurationThatTakesEffectAgain() {
        execute(1);
        checker.recordWithdrawal(new GuaranteeChecker.Withdrawal("old", "new", SENT - 1_500));
        Call newer = call(RequestKind.READ, "new", SENT - 1_000, SENT - 900, answer(200, "done r1"));
        checker.check(newer);
        checker.check(call(RequestKind.READ, "old", SENT, SENT + 100, answer(200, "done r1")));

        assertViolation("never_back");
    }

    @Test
    void executionOfARequestThatNobodySent() {
        execute(1);

        assertViolation("asked_for");
    }

    @Test
    void twoHoldersWithOneToken() {
        ledger.recordOrder("target", 3, "entry-1");
        ledger.recordOrder("target", 3, "entry-2");

        assertViolation("one_holder");
    }

    @Test
    void workspaceFarOverItsRate() {
        for (int number = 0; number < 200; number++) {
            ledger.recordExecution("probe-" + number, "target", "small");
        }

        assertViolation("quota");
    }
}
