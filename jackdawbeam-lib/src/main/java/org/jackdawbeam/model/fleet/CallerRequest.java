package org.jackdawbeam.model.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Properties of a caller's request that admission and routing use.
 *
 * @param callerRequestId id that the caller assigned to this attempt
 * @param deadlineMillis time that the caller will wait, in milliseconds
 * @param model name of the base model
 * @param inputTokens length of the prompt in tokens; 0 if unknown
 * @param maximumOutputTokens maximum number of tokens to generate; 0 if unknown
 * @param outputTokensHint number of tokens to generate as estimated by the caller
 * @param prompt parts of the prompt, in order
 * @param fingerprint digest of what the request is: method, path with query, key, model, prompt parts and body
 */
public record CallerRequest(
        String callerRequestId,
        String host,
        String path,
        Optional<String> key,
        long deadlineMillis,
        Optional<String> model,
        Optional<String> adapter,
        long inputTokens,
        long maximumOutputTokens,
        OptionalLong outputTokensHint,
        boolean countsTokens,
        List<PromptPart> prompt,
        long fingerprint) {

    /** Creates a request whose caller does not estimate the length of the answer. */
    public CallerRequest(
            String callerRequestId,
            String host,
            String path,
            Optional<String> key,
            long deadlineMillis,
            Optional<String> model,
            Optional<String> adapter,
            long inputTokens,
            long maximumOutputTokens,
            boolean countsTokens,
            List<PromptPart> prompt,
            long fingerprint) {
        this(
                callerRequestId,
                host,
                path,
                key,
                deadlineMillis,
                model,
                adapter,
                inputTokens,
                maximumOutputTokens,
                OptionalLong.empty(),
                countsTokens,
                prompt,
                fingerprint);
    }

    /** Returns the number of tokens that the caller expects, or the most that it allows; 0 if unknown. */
    public long expectedOutputTokens() {
        return maximumOutputTokens > 0
                ? Math.min(maximumOutputTokens, outputTokensHint.orElse(maximumOutputTokens))
                : outputTokensHint.orElse(0);
    }
}
