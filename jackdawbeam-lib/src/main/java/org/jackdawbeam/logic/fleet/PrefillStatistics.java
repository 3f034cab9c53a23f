package org.jackdawbeam.logic.fleet;

/**
 * How fast the engines of a service read prompts, and how long prompts are, as requests have shown. Engines
 * do not tell it, and it differs tenfold between deployments.
 *
 * @param tokensPerMillisecond prompt tokens that an engine reads in a millisecond beside its other work
 * @param answers answers that have shown it
 * @param promptTokens typical length of a prompt
 * @param longRunMillis time from sending a request to the end of its answer that one in ten exceeds
 * @param uncachedShare part of the tokens of prompts that engines have to read, as their caches lack them
 */
public record PrefillStatistics(
        double tokensPerMillisecond, int answers, double promptTokens, double longRunMillis, double uncachedShare) {
    private static final double INITIAL_TOKENS_PER_MILLISECOND = 20; // a large model on one accelerator of today
    private static final double INITIAL_PROMPT_TOKENS = 2_000; // a question with a page of context
    private static final double MIN_TOKENS_PER_MILLISECOND = 1; // slower engines would not serve callers that wait
    private static final double MAX_TOKENS_PER_MILLISECOND =
            200; // ten times the first guess; more is a cache that was not known of
    /**
     * Part of the answers that may show a slower pace. Below one half, because a cache that was not known of makes
     * engines look faster than they are, and believing in a faster pace makes queues.
     */
    private static final double SPEED_QUANTILE = 0.4;

    private static final double STEP = 0.12; // some ten answers for a change by half
    private static final double INITIAL_STEP = 0.5; // the first guess may be wrong by a factor of two and more
    private static final double STEP_HALVING_ANSWERS = 4; // half of the first step after that many
    private static final long MIN_TOKENS = 300; // shorter prompts tell more of decoding than of reading
    private static final double INITIAL_LONG_RUN_MILLIS = 3_000; // a page of text on a large model
    private static final double MIN_RUN_MILLIS = 50; // a single token
    private static final double MAX_RUN_MILLIS = 60_000; // callers do not wait longer
    private static final double LONG_RUN_QUANTILE = 0.9;
    private static final double PROMPT_WEIGHT = 0.1; // about the last ten prompts count
    private static final double SHARE_WEIGHT = 0.05; // about the last twenty prompts count
    private static final double MIN_UNCACHED_SHARE = 0.05; // even where nearly all is cached, a batch takes its time

    static PrefillStatistics unknown() {
        return new PrefillStatistics(
                INITIAL_TOKENS_PER_MILLISECOND, 0, INITIAL_PROMPT_TOKENS, INITIAL_LONG_RUN_MILLIS, 1);
    }

    /** Returns how long an engine needs to read the tokens. */
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

    /** Returns the pace after a prompt was sent of which the engine has to read a part. */
    PrefillStatistics withSentPrompt(long tokens, long unreadTokens) {
        if (tokens <= 0) {
            return this;
        }
        // Long prompts count for more, as they take more of an engine's time.
        double weight = Math.min(1, SHARE_WEIGHT * tokens / promptTokens);
        double share = uncachedShare + weight * ((double) unreadTokens / tokens - uncachedShare);
        return new PrefillStatistics(
                tokensPerMillisecond, answers, promptTokens, longRunMillis, Math.clamp(share, MIN_UNCACHED_SHARE, 1));
    }

    /**
     * Returns the pace after an answer has begun.
     *
     * @param tokens prompt tokens that the engine had to read until then
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

    /** Returns the pace after an answer has ended. */
    PrefillStatistics withCompletedRun(double millis) {
        double factor = millis > longRunMillis ? 1 + STEP * LONG_RUN_QUANTILE : 1 - STEP * (1 - LONG_RUN_QUANTILE);
        double changed = Math.clamp(longRunMillis * factor, MIN_RUN_MILLIS, MAX_RUN_MILLIS);
        return new PrefillStatistics(tokensPerMillisecond, answers, promptTokens, changed, uncachedShare);
    }
}
