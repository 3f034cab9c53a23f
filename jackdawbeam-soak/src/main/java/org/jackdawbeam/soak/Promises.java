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

/** Judges what callers and targets have seen. Times are times of day in milliseconds. Thread-safe. */
final class Promises {
    /** Requests whose ids begin so are not part of the judged load. */
    static final String PROBE = "probe-";

    static final String STORE = "store";
    static final String TARGETS = "targets";

    private static final long CONTACT_MILLIS = 3_000; // calm before which a rule with a time limit does not bind
    private static final long WITHDRAWAL_MILLIS = 5_000; // after this no request with a withdrawn key may run
    private static final long APPLY_MILLIS = 2_000; // after this a calm entry follows a configuration
    private static final long DOWNGRADE_MILLIS = 250; // requests already on the way when a version took effect
    private static final long SLOW_DOWNGRADE_MILLIS = 8 * DOWNGRADE_MILLIS; // the same on a disturbed entry
    private static final long DRAIN_MILLIS = 2_000; // after this a leaving target gets no request
    private static final long LISTING_MILLIS = 300; // until the store lists what a target says
    private static final long ROUTE_MILLIS = 5_500; // the routes' time-out, and half a second
    private static final long LOSS_MILLIS = 200; // until then a close means that the request was not read
    private static final long QUOTA_WINDOW_MILLIS = 8_000;
    private static final double QUOTA_UNITS = (FleetSite.SMALL_UNITS * 8 + FleetSite.SMALL_UNITS) * 1.1 + 17_000;
    private static final int PLAIN_UNITS = 200;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)");

    private final Calm calm;
    private final TargetLedger ledger;
    private final ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Withdrawal> withdrawals = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();

    /** A configuration that replaced a key by another one, acknowledged at the given time. */
    record Withdrawal(String oldKey, String newKey, long atMillis) {}

    Promises(Calm calm, TargetLedger ledger) {
        this.calm = calm;
        this.ledger = ledger;
    }

    void withdrawn(Withdrawal withdrawal) {
        withdrawals.add(withdrawal);
    }

    void violated(String promise, String detail) {
        broken.add("promise=" + promise + " " + detail);
    }

    List<Call> calls() {
        return new ArrayList<>(calls);
    }

    List<String> broken() {
        return new ArrayList<>(broken);
    }

    /** Judges an ended request by itself. */
    void judge(Call call) {
        calls.add(call);
        switch (call.outcome()) {
            case Outcome.Answered answered -> judgeAnswer(call, answered);
            case Outcome.Broken cut -> judgeCut(call);
            case Outcome.GivenUp left -> judgeSilence(call);
            case Outcome.Unreachable none -> {
                // An entry that is stopped or killed accepts no connections.
            }
        }
        boolean always = call.key().equals(FleetSite.KEY) || call.key().equals(FleetSite.SMALL_KEY);
        if (always && (call.status() == 401 || call.status() == 404)) {
            violated("denied", "a valid request was answered with " + call.status() + ": " + call);
        }
    }

    private void judgeAnswer(Call call, Outcome.Answered answered) {
        if (answered.status() != 200) {
            return;
        }
        boolean own = call.requestId().equals(answered.headers().get("request-id"))
                && answered.headers().getOrDefault("server-seal", "").endsWith("." + call.requestId());
        if (!own) {
            violated("own_answer", "the answer belongs to another request: " + call);
        }
        boolean whole = call.kind().streaming()
                ? events(answered.body()).equals(allEvents())
                : answered.body().equals("done " + call.requestId());
        if (!whole) {
            violated("whole_answer", "an answer that looks complete is not: " + call);
        }
        if (answered.status() == 200 && call.endedAtMillis() - call.sentAtMillis() > ROUTE_MILLIS) {
            judgeSilence(call);
        }
    }

    private void judgeCut(Call call) {
        boolean unread =
                ledger.executions(call.requestId()) == 0 && call.endedAtMillis() - call.sentAtMillis() <= LOSS_MILLIS;
        if (!unread && isCalm(call, Set.of(call.entry(), TARGETS))) {
            violated("answer_lost", "the connection ended without an answer: " + call);
        }
    }

    private void judgeSilence(Call call) {
        if (isCalm(call, Set.of(call.entry(), TARGETS, STORE))) {
            violated("route_timeout", "no answer within the route's time: " + call);
        }
    }

    private boolean isCalm(Call call, Set<String> places) {
        return calm.isCalm(places, call.sentAtMillis() - CONTACT_MILLIS, call.endedAtMillis());
    }

    /** Judges what can only be seen over the whole run. */
    void judgeAll() {
        Map<String, Call> byId = new HashMap<>();
        calls.forEach(call -> byId.put(call.requestId(), call));
        ledger.all().forEach((id, executions) -> judgeExecutions(id, executions, Optional.ofNullable(byId.get(id))));
        ledger.sharedTokens().forEach(shared -> violated("one_holder", shared));
        if (!ledger.keySeen().isEmpty()) {
            violated("key_kept", "a target has seen a caller's key");
        }
        judgeQuota();
        for (TargetLedger.Execution execution : ledger.history()) {
            Call call = byId.get(execution.requestId());
            if (call != null) {
                judgeDrain(execution, call);
            }
        }
        withdrawals.forEach(this::judgeWithdrawal);
    }

    private void judgeExecutions(String id, int executions, Optional<Call> call) {
        if (call.isEmpty() && !id.startsWith(PROBE)) {
            violated("asked_for", "a target ran a request that no caller sent: " + id);
        }
        call.ifPresent(known -> judgeExecutions(known, executions));
    }

    private void judgeExecutions(Call call, int executions) {
        if (call.kind().onceAtMost() && executions > 1) {
            violated("once_at_most", "ran " + executions + " times: " + call);
        }
        if (call.kind().onceAtMost() && call.promisesNoExecution()) {
            violated("true_refusal", "refused and run: " + call);
        }
    }

    private void judgeQuota() {
        Deque<Long> window = new ArrayDeque<>();
        for (TargetLedger.Execution execution : ledger.history()) {
            if (!execution.workspace().equals("small")) {
                continue;
            }
            window.addLast(execution.atMillis());
            while (window.getFirst() < execution.atMillis() - QUOTA_WINDOW_MILLIS) {
                window.removeFirst();
            }
            if (window.size() * PLAIN_UNITS > QUOTA_UNITS) {
                violated("quota", window.size() + " requests in " + QUOTA_WINDOW_MILLIS + " ms");
                return;
            }
        }
    }

    private void judgeDrain(TargetLedger.Execution execution, Call call) {
        long since = execution.leavingSinceMillis();
        boolean late = since > 0 && execution.atMillis() > since + LISTING_MILLIS + DRAIN_MILLIS;
        Set<String> places = Set.of(call.entry(), STORE, TARGETS);
        if (late && calm.isCalm(places, since - CONTACT_MILLIS, execution.atMillis())) {
            violated("drain", execution + " by " + call);
        }
    }

    private void judgeWithdrawal(Withdrawal withdrawal) {
        Map<String, Long> newSeenAt = new HashMap<>();
        for (Call call : calls) {
            if (call.status() == 200 && call.key().equals(withdrawal.newKey())) {
                newSeenAt.merge(call.run(), call.endedAtMillis(), Math::min);
            }
        }
        for (Call call : calls) {
            long newSeen = newSeenAt.getOrDefault(call.run(), Long.MAX_VALUE);
            if (call.key().equals(withdrawal.oldKey()) && ledger.executions(call.requestId()) > 0) {
                judgeOldKey(withdrawal, call, newSeen);
            } else if (call.key().equals(withdrawal.newKey()) && call.status() == 401) {
                judgeNewKey(withdrawal, call);
            }
        }
    }

    private void judgeOldKey(Withdrawal withdrawal, Call call, long newSeenAtMillis) {
        long age = call.sentAtMillis() - withdrawal.atMillis();
        if (age > WITHDRAWAL_MILLIS || age > APPLY_MILLIS && isSettled(withdrawal, call)) {
            violated("withdrawal", "ran " + age + " ms after its key was withdrawn: " + call);
        }
        long allowed = isCalm(call, Set.of(call.entry())) ? DOWNGRADE_MILLIS : SLOW_DOWNGRADE_MILLIS;
        if (newSeenAtMillis < Long.MAX_VALUE && call.sentAtMillis() > newSeenAtMillis + allowed) {
            violated("never_back", "an older configuration came back: " + call);
        }
    }

    private void judgeNewKey(Withdrawal withdrawal, Call call) {
        long age = call.sentAtMillis() - withdrawal.atMillis();
        boolean withdrawnItself = withdrawals.stream()
                .anyMatch(later -> later.oldKey().equals(call.key()) && later.atMillis() <= call.endedAtMillis());
        if (age > APPLY_MILLIS && !withdrawnItself && isSettled(withdrawal, call)) {
            violated("configuration", "a new key is unknown after " + age + " ms: " + call);
        }
    }

    private boolean isSettled(Withdrawal withdrawal, Call call) {
        return calm.isCalm(Set.of(call.entry(), STORE), withdrawal.atMillis() - CONTACT_MILLIS, call.endedAtMillis());
    }

    private static List<Integer> events(String body) {
        List<Integer> numbers = new ArrayList<>();
        Matcher matcher = EVENT.matcher(body);
        while (matcher.find()) {
            numbers.add(Integer.parseInt(matcher.group(1)));
        }
        return numbers;
    }

    private static List<Integer> allEvents() {
        List<Integer> numbers = new ArrayList<>();
        for (int number = 1; number <= TargetStandIn.EVENTS; number++) {
            numbers.add(number);
        }
        return numbers;
    }
}
