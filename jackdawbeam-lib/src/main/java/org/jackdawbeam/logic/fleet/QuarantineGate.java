package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jackdawbeam.logic.quarantine.Quarantine;
import org.jackdawbeam.logic.quarantine.QuarantineEntry;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.PromptPart;
import org.jackdawbeam.model.fleet.QuarantineScope;
import org.jackdawbeam.model.refusal.RefusalCode;

/** Decides whether a request may be sent although it, or parts of its prompt, may be quarantined. */
final class QuarantineGate {
    private static final long MIN_RETRY_MILLIS = 1_000; // no trial ends sooner

    /**
     * Result of a check.
     *
     * @param state the state, in which the request may have become a trial
     * @param blocked why the request must not be sent, if so
     */
    record Result(FleetState state, Optional<Blocked> blocked) {}

    /** A request that must not be sent, with the time until the next trial. */
    record Blocked(QuarantineScope scope, String ids, long retryAfterMillis) {
        RefusalCode code() {
            return switch (scope) {
                case PROMPT_PARTS -> RefusalCode.PROMPT_QUARANTINED;
                case REQUESTS -> RefusalCode.REQUEST_QUARANTINED;
            };
        }

        String reason() {
            return switch (scope) {
                case PROMPT_PARTS -> "quarantined prompt parts " + ids;
                case REQUESTS -> "quarantined request, fingerprint " + ids;
            };
        }
    }

    private QuarantineGate() {}

    /** Returns the ids of the parts that a prompt shares with others; the last part is the request's own. */
    static List<Long> sharedParts(CallerRequest call) {
        List<PromptPart> prompt = call.prompt();
        return prompt.subList(0, Math.max(0, prompt.size() - 1)).stream()
                .map(PromptPart::id)
                .distinct()
                .toList();
    }

    /** Returns the ids under which a request can be quarantined. */
    static List<Long> ids(QuarantineScope scope, CallerRequest call) {
        return switch (scope) {
            case PROMPT_PARTS -> sharedParts(call);
            case REQUESTS -> List.of(call.fingerprint());
        };
    }

    /** Checks a request, and makes it the trial of what is quarantined of it if one is due at this entry. */
    static Result check(
            FleetState state,
            CallerRequest call,
            long requestId,
            boolean firstAttempt,
            long nowMillis,
            List<FleetEffect> effects) {
        Result result = check(state, QuarantineScope.REQUESTS, call, requestId, firstAttempt, nowMillis, effects);
        return result.blocked().isPresent()
                ? result
                : check(
                        result.state(),
                        QuarantineScope.PROMPT_PARTS,
                        call,
                        requestId,
                        firstAttempt,
                        nowMillis,
                        effects);
    }

    private static Result check(
            FleetState state,
            QuarantineScope scope,
            CallerRequest call,
            long requestId,
            boolean firstAttempt,
            long nowMillis,
            List<FleetEffect> effects) {
        Quarantine quarantine = state.quarantine(scope);
        List<Set<Long>> groups = quarantine.findGroups(ids(scope, call));
        if (groups.isEmpty()) {
            return new Result(state, Optional.empty());
        }
        Set<Long> group = groups.getFirst();
        QuarantineEntry entry = quarantine.entries().get(group);
        boolean single = groups.size() == 1 && firstAttempt;
        boolean isTrial =
                entry.trialRequest().isPresent() && entry.trialRequest().getAsLong() == requestId;
        if (single && isTrial) {
            return new Result(state, Optional.empty());
        }
        boolean trialDue = nowMillis >= entry.nextTrialAtMillis();
        if (single && trialDue && QuotaFlow.isFirst(state, format(group), nowMillis)) {
            boolean parts = scope == QuarantineScope.PROMPT_PARTS;
            effects.add(FleetEffect.Note.of(
                    parts ? "prompt_parts_trial" : "request_trial",
                    "request",
                    call.callerRequestId(),
                    parts ? "prompt_parts" : "fingerprint",
                    format(group)));
            return new Result(state.with(quarantine.withTrial(group, requestId, nowMillis)), Optional.empty());
        }
        long retryAfterMillis = Math.max(MIN_RETRY_MILLIS, entry.nextTrialAtMillis() - nowMillis);
        return new Result(state, Optional.of(new Blocked(scope, format(group), retryAfterMillis)));
    }

    /** Returns the ids of a group in hexadecimal, in ascending order, joined by plus signs. */
    static String format(Set<Long> group) {
        return group.stream().sorted().map(Long::toHexString).collect(Collectors.joining("+"));
    }
}
