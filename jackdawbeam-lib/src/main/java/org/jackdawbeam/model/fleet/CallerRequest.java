package org.jackdawbeam.model.fleet;

import java.util.List;
import java.util.Optional;

/**
 * Properties of a caller's request that admission and routing use.
 *
 * @param callerRequestId id that the caller assigned to this attempt
 * @param deadlineMillis time that the caller will wait, in milliseconds
 * @param model name of the base model
 * @param inputTokens length of the prompt in tokens; 0 if unknown
 * @param maximumOutputTokens maximum number of tokens to generate; 0 if unknown
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
        boolean countsTokens,
        List<PromptPart> prompt,
        long fingerprint) {}
