package org.jackdawbeam.model.request;

import java.util.List;
import java.util.Optional;

/** A call as parsed from the request of a caller. */
public sealed interface Call {

    /**
     * A completion.
     *
     * @param modelName name of a model or adapter, or {@code model:adapter}
     * @param promptTokens estimated length of the prompt in charged tokens
     * @param prefixHashes hashes of the prompt prefixes, shortest first, one for each block
     * @param maximumTokens maximum number of tokens to generate
     * @param streamed whether the response is an event stream
     */
    record CompletionCall(
            String modelName, int promptTokens, List<Long> prefixHashes, int maximumTokens, boolean streamed)
            implements Call {

        public CompletionCall {
            prefixHashes = List.copyOf(prefixHashes);
        }
    }

    /**
     * A call to a plain service.
     *
     * @param path path below {@code /services/}
     * @param idempotencyKey value of the Idempotency-Key header
     * @param digest SHA-256 of method, path and body
     */
    record ServiceCall(String path, Optional<String> idempotencyKey, String digest) implements Call {}

    /** Lists the models that the workspace may use. */
    record ModelsCall() implements Call {}
}
