package org.jackdawbeam.net.fleet;

import java.util.Optional;
import org.jackdawbeam.model.fleet.TargetLoad;

/**
 * What the head of a target's answer says.
 *
 * @param foreign whether it answers another request
 * @param sealed whether it carries the target's signature
 * @param notExecuted whether the target states that it did not execute the request
 * @param idleMillis how long the connection may be reused after the answer; 0 if not at all
 */
public record AnswerHead(
        boolean foreign, boolean sealed, boolean notExecuted, Optional<TargetLoad> load, long idleMillis) {}
