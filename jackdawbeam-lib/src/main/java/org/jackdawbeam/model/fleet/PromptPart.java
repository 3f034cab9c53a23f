package org.jackdawbeam.model.fleet;

/**
 * A part of a prompt that may be shared with other requests.
 *
 * @param id content identifier
 * @param tokens length in tokens
 */
public record PromptPart(long id, int tokens) {}
