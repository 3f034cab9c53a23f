package org.jackdawbeam.logic.explain;

import java.util.List;
import java.util.Optional;

/**
 * What an entry would do with a request now, and why.
 *
 * @param route name of the route; empty if none matches
 * @param service service that the route selects; empty without a route
 * @param unitsOwner entry that would be asked for the quota units of the workspace; empty if none has to be asked. The
 *     rest of the explanation assumes that it grants them.
 * @param candidates targets of the service: the one that the request would be sent to, then the others by state and
 *     estimate. In large fleets the choice between similar ones is drawn from the request's id.
 */
public record Explanation(
        Optional<String> route,
        Optional<String> service,
        Optional<String> unitsOwner,
        Outcome outcome,
        List<Candidate> candidates) {

    /** What would happen to the request. */
    public sealed interface Outcome {

        /** Returns the name of the outcome, as reports show it. */
        default String name() {
            return switch (this) {
                case Sent sent -> "sent";
                case Waiting waiting -> "waiting";
                case Refused refused -> "refused";
            };
        }

        /**
         * The request would be sent.
         *
         * @param priority priority at the target, 0 is the highest
         * @param estimateMillis expected time to the first byte
         */
        record Sent(String target, String zone, int priority, long estimateMillis) implements Outcome {}

        /** The request would wait at this entry. */
        record Waiting(String reason) implements Outcome {}

        /**
         * The request would be refused.
         *
         * @param retryAfterMillis when the caller is told to come back; empty if it is not
         */
        record Refused(String code, String reason, Optional<Long> retryAfterMillis) implements Outcome {}
    }

    /**
     * A target of the service.
     *
     * @param state whether it may get the request now, or why not
     * @param prefillTokens prompt tokens of the request that it would have to process
     * @param queuedAheadTokens prompt tokens of other requests that it would process first
     * @param estimateMillis expected time to the first byte
     * @param penaltyMillis added to the estimate when targets are compared
     */
    public record Candidate(
            String target,
            String zone,
            CandidateState state,
            long prefillTokens,
            long queuedAheadTokens,
            long estimateMillis,
            long penaltyMillis) {}

    /** Whether a target may get a request now. */
    public enum CandidateState {
        /** It may get the request. */
        CAPABLE,
        /** It does not hold the model or the adapter. */
        WITHOUT_MODEL,
        /** It asked for a pause, or its limit leaves nothing for this entry now. */
        NOT_ACCEPTING,
        /** It gets no new requests. */
        EXCLUDED
    }
}
