package org.jackdawbeam.model.bundle;

/**
 * A workspace and its rate limits, which apply to all entry hosts together.
 *
 * @param name workspace id
 * @param tokensPerSecond sustained rate in charged tokens per second
 * @param burstTokens maximum number of charged tokens that may be spent at once
 */
public record WorkspaceSpecification(String name, double tokensPerSecond, double burstTokens) {}
