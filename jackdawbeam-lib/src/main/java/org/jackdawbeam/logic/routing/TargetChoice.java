package org.jackdawbeam.logic.routing;

import org.jackdawbeam.logic.target.TargetState;

/**
 * A target chosen for a request.
 *
 * @param target the chosen target
 * @param estimate estimated time to first token at that target
 */
public record TargetChoice(TargetState target, FirstTokenEstimate estimate) {}
