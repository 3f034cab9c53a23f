package org.jackdawbeam.model.fleet;

/** Load that a target reports with a response. */
public record TargetLoad(int running, int waiting, int slots) {}
