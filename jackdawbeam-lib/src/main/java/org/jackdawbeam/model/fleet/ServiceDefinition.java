package org.jackdawbeam.model.fleet;

import java.util.Optional;

/**
 * A group of targets that serve the same requests.
 *
 * @param maximumConnections connections that one target accepts from all callers together
 * @param engine engine properties, present if the targets are model engines
 * @param warmUp how targets warm up, present if they must be protected while they are cold
 */
public record ServiceDefinition(
        String name, int maximumConnections, Optional<EngineDefinition> engine, Optional<WarmUp> warmUp) {

    /** Creates a service whose targets need no warm-up. */
    public ServiceDefinition(String name, int maximumConnections, Optional<EngineDefinition> engine) {
        this(name, maximumConnections, engine, Optional.empty());
    }
}
