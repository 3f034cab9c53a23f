package org.jackdawbeam.model.fleet;

import java.util.Optional;

/**
 * A group of targets that serve the same requests.
 *
 * @param maximumConnections connections that one target accepts from all callers together
 * @param engine engine properties, present if the targets are model engines
 */
public record ServiceDefinition(String name, int maximumConnections, Optional<EngineDefinition> engine) {}
