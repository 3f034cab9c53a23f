package org.jackdawbeam.model.fleet;

/** Load that a target states with an answer. */
public record TargetLoad(int running, int waiting, int slots) {}
