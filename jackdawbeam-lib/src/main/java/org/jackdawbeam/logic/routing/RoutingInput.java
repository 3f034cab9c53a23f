package org.jackdawbeam.logic.routing;

import java.util.List;
import java.util.Optional;

/**
 * What routing needs to know of a request.
 *
 * @param requestId id of the request, from which random choices are derived
 * @param adapter adapter that the target needs
 * @param promptTokens length of the prompt
 * @param prefixHashes hashes of the growing prefixes of the prompt
 */
public record RoutingInput(long requestId, Optional<String> adapter, int promptTokens, List<Long> prefixHashes) {}
