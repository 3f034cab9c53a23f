package org.jackdawbeam.logic.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.bundle.RouteSpecification;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.AttemptFailure;
import org.jackdawbeam.model.request.Call.CompletionCall;
import org.jackdawbeam.model.request.Call.ServiceCall;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryPolicyTest {
    private static final long TOTAL_MILLIS = 10_000;

    @ParameterizedTest
    @CsvSource({
        "payment, CONNECT_FAILED, false, again",
        "payment, REJECTED, false, again",
        "payment, CONNECTION_LOST, true, unknown",
        "payment, TIMED_OUT, true, unknown",
        "payment, SERVER_ERROR, true, unknown",
        "payment, MALFORMED_ANSWER, true, unknown",
        "query, CONNECTION_LOST, true, again",
        "completion, CONNECTION_LOST, true, again",
        "completion, TIMED_OUT, true, again"
    })
    void retriesOnlyWhenRepeatingIsSafe(String kind, AttemptFailure failure, boolean mayHaveRun, String expected) {
        Request request = failed(kind, mayHaveRun, 1);

        RetryDecision decision = RetryPolicy.decide(request, failure, mayHaveRun, RetryBudget.full(), 0);

        assertThat(describe(decision)).isEqualTo(expected);
    }

    @Test
    void givesUpWithoutExecutionWhenTheDeadlineHasPassed() {
        Request request = failed("payment", false, 1);

        RetryDecision decision =
                RetryPolicy.decide(request, AttemptFailure.CONNECT_FAILED, false, RetryBudget.full(), TOTAL_MILLIS);

        RetryDecision.GiveUp giveUp = (RetryDecision.GiveUp) decision;
        assertThat(giveUp.refusal().code()).isEqualTo(RefusalCode.DEADLINE_EXCEEDED);
        assertThat(giveUp.refusal().ran()).isEqualTo(ExecutionStatus.NO);
    }

    @Test
    void emptyBudgetStopsRetries() {
        Request request = failed("completion", true, 1);

        RetryDecision decision =
                RetryPolicy.decide(request, AttemptFailure.CONNECTION_LOST, true, new RetryBudget(0.5), 0);

        assertThat(decision).isInstanceOf(RetryDecision.GiveUp.class);
    }

    @Test
    void rejectedAttemptsHaveAHigherRetryLimit() {
        Request request = failed("payment", false, 5);

        RetryDecision rejected = RetryPolicy.decide(request, AttemptFailure.REJECTED, false, RetryBudget.full(), 0);
        RetryDecision unreachable =
                RetryPolicy.decide(request, AttemptFailure.CONNECT_FAILED, false, RetryBudget.full(), 0);

        assertThat(rejected).isInstanceOf(RetryDecision.Retry.class);
        assertThat(unreachable).isInstanceOf(RetryDecision.GiveUp.class);
    }

    @Test
    void backoffGrowsWithEachAttempt() {
        long second = delay(failed("completion", true, 2));
        long fourth = delay(failed("completion", true, 4));

        assertThat(delay(failed("completion", true, 1))).isZero();
        assertThat(second).isPositive();
        assertThat(fourth).isGreaterThan(second);
    }

    private static long delay(Request request) {
        RetryDecision decision =
                RetryPolicy.decide(request, AttemptFailure.CONNECTION_LOST, true, RetryBudget.full(), 0);
        return ((RetryDecision.Retry) decision).delayMillis();
    }

    private static String describe(RetryDecision decision) {
        return switch (decision) {
            case RetryDecision.Retry retry -> "again";
            case RetryDecision.GiveUp giveUp ->
                giveUp.refusal().ran() == ExecutionStatus.UNKNOWN ? "unknown" : "not run";
        };
    }

    private static Request failed(String kind, boolean mayHaveRun, int attempts) {
        Request request = Request.arrived(7, 0, TOTAL_MILLIS, Optional.empty(), Optional.of("w"), work(kind));
        for (int attempt = 0; attempt < attempts; attempt++) {
            request = request.dispatchedTo("target");
        }
        return request.failedAt("target", mayHaveRun, 0);
    }

    private static Work work(String kind) {
        ServiceCall call = new ServiceCall("pay/x", Optional.empty(), "digest");
        return switch (kind) {
            case "payment" -> new Work.Service(call, new RouteSpecification("pay", "pay", false, false, 1, List.of()));
            case "query" -> new Work.Service(call, new RouteSpecification("pay", "pay", false, true, 1, List.of()));
            default -> new Work.Completion(new CompletionCall("m", 10, List.of(), 10, true), "m", Optional.empty());
        };
    }
}
