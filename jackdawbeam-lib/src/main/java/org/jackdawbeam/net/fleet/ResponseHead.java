package org.jackdawbeam.net.fleet;

import org.jackdawbeam.model.fleet.TargetStatement;

/**
 * What the head of a target's answer says.
 *
 * @param forOtherRequest whether it answers another request
 * @param signed whether it carries the target's signature
 * @param notExecuted whether the target states that it did not execute the request
 * @param statement what the target says of itself
 * @param idleMillis how long the connection may be reused after the answer; 0 if not at all
 */
public record ResponseHead(
        boolean forOtherRequest, boolean signed, boolean notExecuted, TargetStatement statement, long idleMillis) {}
