package org.jackdawbeam.model.fleet;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id content identifier
 * @param tokens length
 */
public record PromptPart(long id, int tokens) {}
