package org.jackdawbeam.net.fleet;

import java.util.Optional;
import org.jackdawbeam.model.fleet.TargetStatement;

/**
 * Status information from the headers of a target's response.
 *
 * @param requestId id of the request that the response names; empty if it names none
 * @param forOtherRequest whether the response belongs to another request
 * @param identified whether the response names the request that it belongs to
 * @param signature the target's signature of the response; empty if there is none
 * @param notExecuted whether the target states that it did not execute the request
 * @param statement what the target reports about itself
 * @param idleMillis how long the connection may stay idle after the response and still be reused; 0 if not at all
 */
public record ResponseHead(
        Optional<String> requestId,
        boolean forOtherRequest,
        boolean identified,
        Optional<String> signature,
        boolean notExecuted,
        TargetStatement statement,
        long idleMillis) {}
