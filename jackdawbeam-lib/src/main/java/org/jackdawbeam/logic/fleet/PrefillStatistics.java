package org.jackdawbeam.logic.fleet;

/**
 * Prefill speed of the engines of a service and the length of prompts, learnt from requests. Engines do not report
 * their speed, and it differs tenfold between deployments.
 *
 * @param tokensPerMillisecond prompt tokens that an engine processes in a millisecond beside its other work
 * @param answers number of answers from which the speed was learnt
 * @param promptTokens typical length of a prompt
 * @param longRunMillis 90th percentile of the time from sending a request to the end of its answer
 * @param uncachedShare share of prompt tokens that engines have to process because they are not cached
 */
public record PrefillStatistics(
        double tokensPerMillisecond, int answers, double promptTokens, double longRunMillis, double uncachedShare) {
    private static final double INITIAL_TOKENS_PER_MILLISECOND = 20; // a large model on one accelerator of today
    private static final double INITIAL_PROMPT_TOKENS = 2_000; // a question with a page of context
    private static final double MIN_TOKENS_PER_MILLISECOND = 1; // slower engines could not serve interactive callers
    /** Ten times the initial value; a higher speed indicates an unknown cache. */
    private static final double MAX_TOKENS_PER_MILLISECOND = 200;
    /**
     * Quantile of the observed speeds that is tracked. It is below the median because unknown cache hits make engines
     * look faster than they are, and overestimating the speed builds up queues.
     */
    private static final double SPEED_QUANTILE = 0.4;

    private static final double STEP = 0.12; // about ten answers for a change by half
    private static final double INITIAL_STEP = 0.5; // the initial value may be off by a factor of two or more
    private static final double STEP_HALVING_ANSWERS = 4; // the initial step is halved after that many answers
    private static final long MIN_TOKENS = 300; // shorter prompts show decoding rather than prefill time
    private static final double INITIAL_LONG_RUN_MILLIS = 3_000; // a page of text on a large model
    private static final double MIN_RUN_MILLIS = 50; // a single token
    private static final double MAX_RUN_MILLIS = 60_000; // callers wait no longer
    private static final double LONG_RUN_QUANTILE = 0.9;
    private static final double PROMPT_WEIGHT = 0.1; // averages over about ten prompts
    private static final double SHARE_WEIGHT = 0.05; // averages over about twenty prompts
    private static final double MIN_UNCACHED_SHARE = 0.05; // a batch takes time even if nearly all is cached

    static PrefillStatistics unknown() {
        return new PrefillStatistics(
                INITIAL_TOKENS_PER_MILLISECOND, 0, INITIAL_PROMPT_TOKENS, INITIAL_LONG_RUN_MILLIS, 1);
    }

    /** Returns the prefill time of the given number of tokens. */
    double prefillMillis(double tokens) {
        return tokens / tokensPerMillisecond;
    }

    PrefillStatistics withRequestedPrompt(long tokens) {
        return tokens <= 0
                ? this
                : new PrefillStatistics(
                        tokensPerMillisecond,
                        answers,
                        promptTokens + PROMPT_WEIGHT * (tokens - promptTokens),
                        longRunMillis,
                        uncachedShare);
    }

    /** Returns the statistics after a prompt was sent of which the engine has to process the uncached part. */
    PrefillStatistics withSentPrompt(long tokens, long uncachedTokens) {
        if (tokens <= 0) {
            return this;
        }
        // Long prompts have more weight, as they take more of an engine's time.
        double weight = Math.min(1, SHARE_WEIGHT * tokens / promptTokens);
        double share = uncachedShare + weight * ((double) uncachedTokens / tokens - uncachedShare);
        return new PrefillStatistics(
                tokensPerMillisecond, answers, promptTokens, longRunMillis, Math.clamp(share, MIN_UNCACHED_SHARE, 1));
    }

    /**
     * Returns the statistics after an answer has begun.
     *
     * @param tokens prompt tokens that the engine had to process until then
     * @param millis how long that took, without other work
     */
    PrefillStatistics withPrefill(long tokens, double millis) {
        if (tokens < MIN_TOKENS) {
            return this;
        }
        boolean faster = tokens > tokensPerMillisecond * Math.max(1, millis);
        double step = Math.max(STEP, INITIAL_STEP / (1 + answers / STEP_HALVING_ANSWERS));
        double factor = faster ? 1 + step * SPEED_QUANTILE : 1 - step * (1 - SPEED_QUANTILE);
        return new PrefillStatistics(
                Math.clamp(tokensPerMillisecond * factor, MIN_TOKENS_PER_MILLISECOND, MAX_TOKENS_PER_MILLISECOND),
                answers + 1,
                promptTokens,
                longRunMillis,
                uncachedShare);
    }

    /** Returns the statistics after an answer has ended. */
    PrefillStatistics withCompletedRun(double millis) {
        double factor = millis > longRunMillis ? 1 + STEP * LONG_RUN_QUANTILE : 1 - STEP * (1 - LONG_RUN_QUANTILE);
        double changed = Math.clamp(longRunMillis * factor, MIN_RUN_MILLIS, MAX_RUN_MILLIS);
        return new PrefillStatistics(tokensPerMillisecond, answers, promptTokens, changed, uncachedShare);
    }
}
