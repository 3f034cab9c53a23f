package org.jackdawbeam.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/** Learns from the answers of a target how many requests it accepts from all entries together. */
final class TargetLimitFlow {

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
        if (target == null) {
            return state;
        }
        Optional<RequestLimit> known = target.limit();
        if (stated.isEmpty()) {
            boolean over =
                    known.map(limit -> limit.heardAtMillis() < sentAtMillis).orElse(false);
            return over ? end(state, target, effects) : state;
        }
        RequestLimit limit = new RequestLimit(stated.getAsDouble(), nowMillis);
        if (known.isEmpty() || known.get().requestsPerSecond() != limit.requestsPerSecond()) {
            note(target, limit, state.self().id(), effects);
        }
        return state.with(target.withLimit(Optional.of(limit)));
    }

    private static FleetState end(FleetState state, FleetTarget target, List<FleetEffect> effects) {
        effects.add(FleetEffect.Note.of(
                "target_limit_over",
                "target",
                target.description().id(),
                "heard_from",
                state.self().id()));
        return state.with(target.withLimit(Optional.empty()));
    }

    private static void note(FleetTarget target, RequestLimit limit, String source, List<FleetEffect> effects) {
        effects.add(FleetEffect.Note.of(
                "target_limited",
                "target",
                target.description().id(),
                "per_second",
                limit.requestsPerSecond(),
                "previous",
                target.limit().map(RequestLimit::requestsPerSecond).orElse(-1.0),
                "heard_from",
                source));
    }
}
