package org.jackdawbeam.logic.fleet;

/**
 * Decides whether a request joins the queue of the engine that would serve it soonest. A request that can be in time
 * is sent as it is. One that will be late anyway is sent behind all that can be in time, so that it costs them nothing.
 * One that would wait longer than callers do is refused at once.
 */
final class Admission {
    private static final long MIN_ACCEPTABLE_WAIT_MILLIS =
            2_000; // callers of interactive requests wait at least that long
    private static final long ACCEPTABLE_WAIT_OBJECTIVES = 3; // late answers are still useful within a few objectives
    private static final double LONG_PROMPT_DISCOUNT = 0.5; // the users want long prompts served at least half as often
    private static final long MIN_RETRY_MILLIS = 400; // about a load of a model from an engine's memory
    private static final long MAX_RETRY_MILLIS = 1_500; // queues at engines are shorter than that

    /** What becomes of a request. */
    sealed interface Verdict {
        /** It can be in time. */
        record InTime() implements Verdict {}

        /** It will be late, and goes behind those that can be in time. */
        record Late() implements Verdict {}

        /** It would be of no use any more. */
        record TooLate(long retryAfterMillis) implements Verdict {}
    }

    private Admission() {}

    /**
     * Judges a request by the time until its first token. The difference between its prompt and a typical one counts by
     * half: under lasting overload the queue stands at the bound, where otherwise only short prompts would still fit.
     * Long ones, which cost others more, are served less often then, but not much less.
     *
     * @param typicalMillis time in which an engine reads a typical prompt of the route
     */
    static Verdict judge(FleetRequest request, TargetChooser.Choice choice, long typicalMillis, long nowMillis) {
        long waitedMillis = nowMillis - request.arrivedAtMillis();
        long objectiveMillis = request.route().objectiveMillis();
        long leftOutMillis = Math.round((choice.ownPrefillMillis() - typicalMillis) * LONG_PROMPT_DISCOUNT);
        if (waitedMillis + choice.estimateMillis() - leftOutMillis <= objectiveMillis) {
            return new Verdict.InTime();
        }
        long patienceMillis = Math.max(MIN_ACCEPTABLE_WAIT_MILLIS, ACCEPTABLE_WAIT_OBJECTIVES * objectiveMillis);
        long leftMillis = request.expiresAtMillis() - nowMillis;
        boolean endured = choice.lateEstimateMillis() - leftOutMillis < patienceMillis;
        if (endured && choice.lateEstimateMillis() < leftMillis) {
            return new Verdict.Late();
        }
        long excess = choice.estimateMillis() - objectiveMillis;
        return new Verdict.TooLate(Math.clamp(excess, MIN_RETRY_MILLIS, MAX_RETRY_MILLIS));
    }
}
