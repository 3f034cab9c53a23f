package org.jackdawbeam.logic.routing;

import java.util.List;
import java.util.Optional;

/**
 * Input for choosing a target for a request.
 *
 * @param requestId id of the request, which seeds random choices
 * @param adapter adapter that the request needs
 * @param promptTokens length of the prompt in tokens
 * @param prefixHashes hashes of the prompt prefixes, shortest first
 */
public record RoutingInput(long requestId, Optional<String> adapter, int promptTokens, List<Long> prefixHashes) {}
