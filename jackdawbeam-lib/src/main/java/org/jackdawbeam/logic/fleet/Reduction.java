package org.jackdawbeam.logic.fleet;

import java.util.List;

/** Result of reducing an event: the new state and the effects to execute in order. */
public record Reduction(FleetState state, List<FleetEffect> effects) {}
