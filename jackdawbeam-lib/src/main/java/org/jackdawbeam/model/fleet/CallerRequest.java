package org.jackdawbeam.model.fleet;

import java.util.List;
import java.util.Optional;

/**
 * What decisions need to know of a caller's request.
 *
 * @param callerRequestId the caller's name for this attempt
 * @param deadlineMillis how long the caller will wait
 * @param model name of the model, without the adapter
 * @param inputTokens length of the prompt; 0 if unknown
 * @param maximumOutputTokens most tokens to be generated; 0 if unknown
 * @param prompt parts of the prompt in order
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
        List<PromptPart> prompt) {}
