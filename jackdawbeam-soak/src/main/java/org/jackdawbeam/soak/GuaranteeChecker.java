package org.jackdawbeam.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jackdawbeam.standin.fleet.FleetSite;
import org.jackdawbeam.standin.fleet.TargetLedger;
import org.jackdawbeam.standin.fleet.TargetStandIn;

/**
 * Checks the guarantees of the system against the observations of callers and targets. Times are epoch milliseconds.
 * Thread-safe.
 */
final class GuaranteeChecker {
    /** Prefix of the ids of requests that are not checked. */
    static final String PROBE = "probe-";

    static final String STORE = "store";
    static final String TARGETS = "targets";

    private static final long SETTLE_MILLIS = 3_000; // time limits apply only this long after a disturbance
    private static final long WITHDRAWAL_MILLIS = 5_000; // limit for entries to stop serving a withdrawn key
    private static final long APPLY_MILLIS = 2_000; // limit for an undisturbed entry to apply a configuration
    private static final long IN_FLIGHT_MILLIS = 250; // for requests in flight when a version is applied
    private static final long DISTURBED_IN_FLIGHT_MILLIS = 8 * IN_FLIGHT_MILLIS; // longer on a disturbed entry
    private static final long DRAIN_MILLIS = 2_000; // limit for entries to stop using a leaving target
    private static final long REGISTRATION_MILLIS = 300; // until the store lists the new state of a target
    private static final long ROUTE_TIMEOUT_MILLIS = 5_500; // the routes' timeout of 5 s and a margin of 0.5 s
    private static final long UNREAD_CLOSE_MILLIS = 200; // a close within this time counts as an unread request
    private static final long QUOTA_WINDOW_MILLIS = 8_000;
    private static final double QUOTA_UNITS =
            (FleetSite.SMALL_UNITS_PER_SECOND * 8 + FleetSite.SMALL_UNITS_PER_SECOND) * 1.1 + 17_000;
    private static final int UNITS_PER_REQUEST = 200;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)");

    private final DisturbanceLog disturbances;
    private final TargetLedger ledger;
    private final ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Withdrawal> withdrawals = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();

    /** Replacement of a key by a configuration that the store acknowledged at the given time. */
    record Withdrawal(String oldKey, String newKey, long atMillis) {}

    GuaranteeChecker(DisturbanceLog disturbances, TargetLedger ledger) {
        this.disturbances = disturbances;
        this.ledger = ledger;
    }

    void recordWithdrawal(Withdrawal withdrawal) {
        withdrawals.add(withdrawal);
    }

    void recordViolation(String promise, String detail) {
        violations.add("promise=" + promise + " " + detail);
    }

    List<Call> calls() {
        return new ArrayList<>(calls);
    }

    List<String> violations() {
        return new ArrayList<>(violations);
    }

    /** Records a finished request and checks the guarantees for a single request. */
    void check(Call call) {
        calls.add(call);
        switch (call.outcome()) {
            case Outcome.Answered answered -> checkAnswer(call, answered);
            case Outcome.Malformed malformed -> recordViolation("own_answer", "response is not valid HTTP: " + call);
            case Outcome.Broken broken -> checkBrokenConnection(call);
            case Outcome.GivenUp givenUp -> checkTimeout(call);
            case Outcome.Unreachable unreachable -> {
                // Stopped and killed entries accept no connections.
            }
        }
        boolean alwaysValid = call.key().equals(FleetSite.KEY) || call.key().equals(FleetSite.SMALL_KEY);
        if (alwaysValid && (call.status() == 401 || call.status() == 404)) {
            recordViolation("denied", "valid request was rejected with status " + call.status() + ": " + call);
        }
    }

    private void checkAnswer(Call call, Outcome.Answered answered) {
        String seal = answered.headers().getOrDefault("server-seal", "");
        if (answered.status() != 200 && seal.isEmpty()) {
            return; // refused by the entry
        }
        boolean matches =
                call.requestId().equals(answered.headers().get("request-id")) && seal.endsWith("." + call.requestId());
        if (!matches) {
            recordViolation("own_answer", "response belongs to another request: " + call);
        } else if (!ledger.hasAnswered(call.requestId(), answered.status(), seal)) {
            recordViolation("own_answer", "no target answered the request first with this status and seal: " + call);
        }
        if (answered.status() >= 500 && call.kind().streaming()) {
            return; // a stream whose target failed may end early
        }
        boolean whole = call.kind().streaming()
                ? eventNumbers(answered.body()).equals(expectedEventNumbers())
                : answered.body().equals("done " + call.requestId());
        if (!whole) {
            recordViolation("whole_answer", "response is incomplete or has extra content: " + call);
        }
        if (answered.status() == 200 && call.endedAtMillis() - call.sentAtMillis() > ROUTE_TIMEOUT_MILLIS) {
            checkTimeout(call);
        }
    }

    private void checkBrokenConnection(Call call) {
        boolean unread = ledger.executions(call.requestId()) == 0
                && call.endedAtMillis() - call.sentAtMillis() <= UNREAD_CLOSE_MILLIS;
        if (!unread && isUndisturbed(call, Set.of(call.entry(), TARGETS))) {
            recordViolation("answer_lost", "connection was closed without a complete response: " + call);
        }
    }

    private void checkTimeout(Call call) {
        if (isUndisturbed(call, Set.of(call.entry(), TARGETS, STORE))) {
            recordViolation("route_timeout", "no complete response within the timeout of the route: " + call);
        }
    }

    private boolean isUndisturbed(Call call, Set<String> locations) {
        return disturbances.isUndisturbed(locations, call.sentAtMillis() - SETTLE_MILLIS, call.endedAtMillis());
    }

    /** Checks the guarantees that need the observations of the whole run. */
    void checkWholeRun() {
        Map<String, Call> byId = new HashMap<>();
        calls.forEach(call -> byId.put(call.requestId(), call));
        ledger.executionCounts()
                .forEach((id, executions) -> checkExecutions(id, executions, Optional.ofNullable(byId.get(id))));
        ledger.reusedFencingTokens().forEach(shared -> recordViolation("one_holder", shared));
        if (!ledger.receivedKey().isEmpty()) {
            recordViolation("key_kept", "a target received the API key of a caller");
        }
        checkQuota();
        for (TargetLedger.Execution execution : ledger.history()) {
            Call call = byId.get(execution.requestId());
            if (call != null) {
                checkDrain(execution, call);
            }
        }
        withdrawals.forEach(this::checkWithdrawal);
    }

    private void checkExecutions(String id, int executions, Optional<Call> call) {
        if (call.isEmpty() && !id.startsWith(PROBE)) {
            recordViolation("asked_for", "a target executed a request that no caller sent: " + id);
        }
        call.ifPresent(known -> checkExecutions(known, executions));
    }

    private void checkExecutions(Call call, int executions) {
        if (call.kind().atMostOnce() && executions > 1) {
            recordViolation("once_at_most", "executed " + executions + " times: " + call);
        }
        if (call.kind().atMostOnce() && call.promisesNoExecution()) {
            recordViolation("true_refusal", "rejected as not executed, but executed: " + call);
        }
    }

    private void checkQuota() {
        Deque<Long> window = new ArrayDeque<>();
        for (TargetLedger.Execution execution : ledger.history()) {
            if (!execution.workspace().equals("small")) {
                continue;
            }
            window.addLast(execution.atMillis());
            while (window.getFirst() < execution.atMillis() - QUOTA_WINDOW_MILLIS) {
                window.removeFirst();
            }
            if (window.size() * UNITS_PER_REQUEST > QUOTA_UNITS) {
                recordViolation("quota", window.size() + " requests executed within " + QUOTA_WINDOW_MILLIS + " ms");
                return;
            }
        }
    }

    private void checkDrain(TargetLedger.Execution execution, Call call) {
        long since = execution.leavingSinceMillis();
        boolean late = since > 0 && execution.atMillis() > since + REGISTRATION_MILLIS + DRAIN_MILLIS;
        Set<String> locations = Set.of(call.entry(), STORE, TARGETS);
        if (late && disturbances.isUndisturbed(locations, since - SETTLE_MILLIS, execution.atMillis())) {
            recordViolation("drain", execution + " by " + call);
        }
    }

    private void checkWithdrawal(Withdrawal withdrawal) {
        Map<String, Long> newSeenAt = new HashMap<>();
        for (Call call : calls) {
            if (call.status() == 200 && call.key().equals(withdrawal.newKey())) {
                newSeenAt.merge(call.run(), call.endedAtMillis(), Math::min);
            }
        }
        for (Call call : calls) {
            long newSeen = newSeenAt.getOrDefault(call.run(), Long.MAX_VALUE);
            if (call.key().equals(withdrawal.oldKey()) && ledger.executions(call.requestId()) > 0) {
                checkOldKey(withdrawal, call, newSeen);
            } else if (call.key().equals(withdrawal.newKey()) && call.status() == 401) {
                checkNewKey(withdrawal, call);
            }
        }
    }

    private void checkOldKey(Withdrawal withdrawal, Call call, long newSeenAtMillis) {
        long age = call.sentAtMillis() - withdrawal.atMillis();
        if (age > WITHDRAWAL_MILLIS || age > APPLY_MILLIS && isUndisturbedSince(withdrawal, call)) {
            recordViolation("withdrawal", "executed " + age + " ms after its key was withdrawn: " + call);
        }
        long allowed = isUndisturbed(call, Set.of(call.entry())) ? IN_FLIGHT_MILLIS : DISTURBED_IN_FLIGHT_MILLIS;
        if (newSeenAtMillis < Long.MAX_VALUE && call.sentAtMillis() > newSeenAtMillis + allowed) {
            recordViolation("never_back", "an entry applied an older configuration again: " + call);
        }
    }

    private void checkNewKey(Withdrawal withdrawal, Call call) {
        long age = call.sentAtMillis() - withdrawal.atMillis();
        boolean withdrawnItself = withdrawals.stream()
                .anyMatch(later -> later.oldKey().equals(call.key()) && later.atMillis() <= call.endedAtMillis());
        if (age > APPLY_MILLIS && !withdrawnItself && isUndisturbedSince(withdrawal, call)) {
            recordViolation("configuration", "new key was rejected " + age + " ms after it was added: " + call);
        }
    }

    private boolean isUndisturbedSince(Withdrawal withdrawal, Call call) {
        return disturbances.isUndisturbed(
                Set.of(call.entry(), STORE), withdrawal.atMillis() - SETTLE_MILLIS, call.endedAtMillis());
    }

    private static List<Integer> eventNumbers(String body) {
        List<Integer> numbers = new ArrayList<>();
        Matcher matcher = EVENT.matcher(body);
        while (matcher.find()) {
            numbers.add(Integer.parseInt(matcher.group(1)));
        }
        return numbers;
    }

    private static List<Integer> expectedEventNumbers() {
        List<Integer> numbers = new ArrayList<>();
        for (int number = 1; number <= TargetStandIn.EVENTS; number++) {
            numbers.add(number);
        }
        return numbers;
    }
}
