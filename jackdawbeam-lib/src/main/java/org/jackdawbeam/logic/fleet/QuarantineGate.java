package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jackdawbeam.logic.quarantine.QuarantineEntry;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.PromptPart;

/** Decides whether a request may be sent although its prompt may contain quarantined parts. */
final class QuarantineGate {
    private static final long MIN_RETRY_MILLIS = 1_000; // no trial ends sooner

    /**
     * Result of a check.
     *
     * @param state the state, in which the request may have become a trial
     * @param blocked why the request must not be sent, if so
     */
    record Result(FleetState state, Optional<Blocked> blocked) {}

    /** A request that must not be sent, with the time until the next trial of its parts. */
    record Blocked(String parts, long retryAfterMillis) {}

    private QuarantineGate() {}

    /** Returns the ids of the parts that a prompt shares with others; the last part is the request's own. */
    static List<Long> sharedParts(CallerRequest call) {
        List<PromptPart> prompt = call.prompt();
        return prompt.subList(0, Math.max(0, prompt.size() - 1)).stream()
                .map(PromptPart::id)
                .distinct()
                .toList();
    }

    /** Checks a request, and makes it the trial of its quarantined parts if one is due at this entry. */
    static Result check(
            FleetState state,
            CallerRequest call,
            long requestId,
            boolean firstAttempt,
            long nowMillis,
            List<FleetEffect> effects) {
        List<Set<Long>> groups = state.quarantine().findGroups(sharedParts(call));
        if (groups.isEmpty()) {
            return new Result(state, Optional.empty());
        }
        Set<Long> group = groups.getFirst();
        QuarantineEntry entry = state.quarantine().entries().get(group);
        boolean single = groups.size() == 1 && firstAttempt;
        boolean isTrial =
                entry.trialRequest().isPresent() && entry.trialRequest().getAsLong() == requestId;
        if (single && isTrial) {
            return new Result(state, Optional.empty());
        }
        boolean trialDue = nowMillis >= entry.nextTrialAtMillis();
        if (single && trialDue && QuotaFlow.isFirst(state, format(group), nowMillis)) {
            effects.add(FleetEffect.Note.of(
                    "prompt_parts_trial", "request", call.callerRequestId(), "prompt_parts", format(group)));
            return new Result(state.with(state.quarantine().withTrial(group, requestId, nowMillis)), Optional.empty());
        }
        long retryAfterMillis = Math.max(MIN_RETRY_MILLIS, entry.nextTrialAtMillis() - nowMillis);
        return new Result(state, Optional.of(new Blocked(format(group), retryAfterMillis)));
    }

    /** Returns the ids of a group in hexadecimal, in ascending order, joined by plus signs. */
    static String format(Set<Long> group) {
        return group.stream().sorted().map(Long::toHexString).collect(Collectors.joining("+"));
    }
}
