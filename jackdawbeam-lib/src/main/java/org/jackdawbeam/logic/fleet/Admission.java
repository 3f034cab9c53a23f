package org.jackdawbeam.logic.fleet;

/**
 * Decides whether a request joins the queue of the engine that would serve it soonest. A request that can meet its
 * objective is sent normally. A request that will miss it is sent at the lowest priority, so that it does not delay
 * those that can. A request that would wait longer than callers accept is refused at once.
 */
final class Admission {
    private static final long MIN_ACCEPTABLE_WAIT_MILLIS = 2_000; // interactive callers wait at least this long
    private static final long ACCEPTABLE_WAIT_OBJECTIVES = 3; // an answer stays useful for a few objectives
    private static final double PATIENCE_SHARE = 0.3; // estimates behind all others may be off threefold
    private static final double LONG_PROMPT_DISCOUNT = 0.5; // users want long prompts served at least half as often
    private static final long MIN_RETRY_MILLIS = 400; // roughly the load of a model from host memory
    private static final long MAX_RETRY_MILLIS = 1_500; // engine queues drain sooner than that

    /** Outcome of the admission of a request. */
    sealed interface Verdict {
        /** The request can meet its objective. */
        record InTime() implements Verdict {}

        /** The request can meet its objective behind all others, whose objectives are shorter. */
        record Patient() implements Verdict {}

        /** The request will miss its objective and is queued behind those that can meet theirs. */
        record Late() implements Verdict {}

        /** The answer would come too late to be useful; the request is refused. */
        record TooLate(long retryAfterMillis) implements Verdict {}
    }

    private Admission() {}

    /**
     * Judges a request by the expected time to its first token. Only half of the prefill time beyond that of a typical
     * prompt counts: under sustained overload the queue stays at the bound, and otherwise only short prompts would
     * still fit. Long prompts, which delay others more, are then served less often, but not much less.
     *
     * @param typicalMillis prefill time of a typical prompt of the route
     */
    static Verdict judge(FleetRequest request, TargetChooser.Choice choice, long typicalMillis, long nowMillis) {
        return judge(request, choice, typicalMillis, false, nowMillis);
    }

    /** Judges a request which may yield to more urgent ones while most of its objective is left. */
    static Verdict judge(
            FleetRequest request, TargetChooser.Choice choice, long typicalMillis, boolean mayYield, long nowMillis) {
        long patienceMillis = Math.round(request.route().objectiveMillis() * PATIENCE_SHARE);
        if (mayYield && nowMillis - request.arrivedAtMillis() + choice.lateEstimateMillis() <= patienceMillis) {
            return new Verdict.Patient();
        }
        long waitedMillis = nowMillis - request.arrivedAtMillis();
        long objectiveMillis = request.route().objectiveMillis();
        long discountMillis = Math.round((choice.ownPrefillMillis() - typicalMillis) * LONG_PROMPT_DISCOUNT);
        if (waitedMillis + choice.estimateMillis() - discountMillis <= objectiveMillis) {
            return new Verdict.InTime();
        }
        long acceptableMillis = Math.max(MIN_ACCEPTABLE_WAIT_MILLIS, ACCEPTABLE_WAIT_OBJECTIVES * objectiveMillis);
        long leftMillis = request.expiresAtMillis() - nowMillis;
        boolean acceptable = choice.lateEstimateMillis() - discountMillis < acceptableMillis;
        if (acceptable && choice.lateEstimateMillis() < leftMillis) {
            return new Verdict.Late();
        }
        long excess = choice.estimateMillis() - objectiveMillis;
        return new Verdict.TooLate(Math.clamp(excess, MIN_RETRY_MILLIS, MAX_RETRY_MILLIS));
    }
}
