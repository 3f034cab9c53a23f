package org.jackdawbeam.standin.engine;

import java.util.List;

/**
 * A completion request in the batch simulation.
 *
 * @param id id of the request, unique within the engine
 * @param model model, or base model of an adapter
 * @param promptTokens prompt length, including tokens generated before the request was resumed
 * @param prefixHashes hashes of the prefixes of the prompt, shortest first
 * @param tokens number of tokens to generate
 * @param priority lower values are scheduled first
 */
public record BatchRequest(
        long id, String model, int promptTokens, List<Long> prefixHashes, int tokens, int priority) {}
