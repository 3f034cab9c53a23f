package org.jackdawbeam.logic.fleet;

import java.util.List;

/** What an event changes and what is to be done, in order. */
public record Reduction(FleetState state, List<FleetEffect> effects) {}
