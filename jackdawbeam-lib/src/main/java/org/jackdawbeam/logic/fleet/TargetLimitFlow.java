package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.jackdawbeam.logic.rate.RequestLimit;
import org.jackdawbeam.model.fleet.FleetMessage;

/** Learns from the answers of targets how many requests they accept from all entries together, and tells the others. */
final class TargetLimitFlow {
    /** A notice may be that old, so that it does not end a limit that the target has stated to this entry since. */
    private static final long NOTICE_AGE_MILLIS = 1_000;

    /**
     * Updates the limit of a target after an answer to a request of this entry.
     *
     * @param stated limit that the answer states, if any
     * @param sentAtMillis when the request was sent; an answer without a limit ends one that was stated before that
     */
    FleetState onTargetAnswer(
            FleetState state,
            String id,
            OptionalDouble stated,
            long sentAtMillis,
            long nowMillis,
            List<FleetEffect> effects) {
        FleetTarget target = state.targets().get(id);
        boolean over = target != null
                && stated.isEmpty()
                && target.limit()
                        .filter(limit -> limit.heardAtMillis() < sentAtMillis)
                        .isPresent();
        boolean limited = target != null && stated.isPresent();
        return over || limited ? update(state, target, stated, state.self().id(), nowMillis, effects) : state;
    }

    FleetState onMessage(
            FleetState state, FleetMessage.TargetLimited message, long nowMillis, List<FleetEffect> effects) {
        FleetTarget target = state.targets().get(message.target());
        if (target == null || target.description().startedAtMillis() != message.startedAtMillis()) {
            return state;
        }
        boolean outdated = target.limit()
                .filter(limit -> nowMillis - limit.heardAtMillis() < NOTICE_AGE_MILLIS)
                .isPresent();
        return outdated
                ? state
                : update(state, target, message.requestsPerSecond(), message.sender(), nowMillis, effects);
    }

    /** Returns the messages that inform a new peer of the targets with limits. */
    static List<FleetEffect> notices(FleetState state, String address) {
        List<FleetEffect> messages = new ArrayList<>();
        for (FleetTarget target : state.targets().values()) {
            target.limit()
                    .ifPresent(limit -> messages.add(new FleetEffect.SendPeerMessage(
                            address, notice(state, target, OptionalDouble.of(limit.requestsPerSecond())))));
        }
        return messages;
    }

    private static FleetState update(
            FleetState state,
            FleetTarget target,
            OptionalDouble stated,
            String source,
            long nowMillis,
            List<FleetEffect> effects) {
        Optional<RequestLimit> known = target.limit();
        OptionalDouble before =
                known.map(limit -> OptionalDouble.of(limit.requestsPerSecond())).orElse(OptionalDouble.empty());
        if (!before.equals(stated)) {
            note(target, before, stated, source, effects);
            TargetNotices.spread(state, notice(state, target, stated), source, effects);
        }
        Optional<RequestLimit> limit = stated.isEmpty()
                ? Optional.empty()
                : Optional.of(known.map(earlier -> earlier.statedAgain(stated.getAsDouble(), nowMillis))
                        .orElseGet(() -> RequestLimit.stated(stated.getAsDouble(), nowMillis)));
        return state.with(target.withLimit(limit));
    }

    private static FleetMessage notice(FleetState state, FleetTarget target, OptionalDouble requestsPerSecond) {
        return new FleetMessage.TargetLimited(
                state.self().id(),
                target.description().id(),
                target.description().startedAtMillis(),
                requestsPerSecond);
    }

    private static void note(
            FleetTarget target,
            OptionalDouble before,
            OptionalDouble stated,
            String source,
            List<FleetEffect> effects) {
        effects.add(FleetEffect.Note.of(
                stated.isPresent() ? "target_limited" : "target_limit_over",
                "target",
                target.description().id(),
                "per_second",
                stated.orElse(-1),
                "previous",
                before.orElse(-1),
                "heard_from",
                source));
    }
}
