package org.jackdawbeam.logic.fleet;

import org.jackdawbeam.logic.cost.CostAccount;
import org.jackdawbeam.logic.cost.Place;

/** Records in the account of costs what answers show. */
final class CostFlow {
    private static final long MIN_TOKENS = 300; // shorter prompts show decoding rather than prefill time
    private static final long MIN_OUTPUT_TOKENS = 16; // fewer take a few steps of the batch only

    private CostFlow() {}

    /** Records the time to the first byte of an answer, unless other requests went before it. */
    static CostAccount learnFirstByte(
            FleetState state, FleetRequest request, FleetTarget target, OutstandingAttempt attempt, long nowMillis) {
        long tokens = attempt.prefillTokens() + attempt.queuedAheadTokens();
        if (attempt.late() || request.call().model().isEmpty() || tokens < MIN_TOKENS) {
            return state.costs();
        }
        double expectedMillis = state.prefillStatistics(request.service()).prefillMillis(tokens)
                + TargetChooser.decodingMillis(attempt.running());
        long observedMillis = nowMillis - attempt.sentAtMillis();
        String id = target.description().id();
        return state.costs().withPrefill(place(request, id), expectedMillis, observedMillis, nowMillis);
    }

    /** Records the time from the first to the last byte of an answer. */
    static CostAccount learnEnd(
            FleetState state,
            FleetRequest request,
            String target,
            OutstandingAttempt attempt,
            FleetEvent.AttemptCompleted event) {
        boolean measured = attempt.firstByteAtMillis().isPresent() && attempt.outputTokens() >= MIN_OUTPUT_TOKENS;
        if (!measured || request.call().model().isEmpty()) {
            return state.costs();
        }
        double expectedMillis = attempt.outputTokens() * TargetChooser.decodingMillis(attempt.running());
        long observedMillis = event.nowMillis() - attempt.firstByteAtMillis().getAsLong();
        return state.costs().withDecoding(place(request, target), expectedMillis, observedMillis, event.nowMillis());
    }

    private static Place place(FleetRequest request, String target) {
        return new Place(request.service(), request.call().model().orElse(""), target);
    }
}
