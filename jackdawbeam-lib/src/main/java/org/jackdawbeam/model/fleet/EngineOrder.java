package org.jackdawbeam.model.fleet;

import java.util.Optional;
import org.jackdawbeam.model.log.OrderAction;

/**
 * An order to an engine.
 *
 * @param expectedCount the engine carries out the order only if it has accepted this many before
 * @param fencingToken grows with each holder of the placement duty
 * @param sendUntilMillis by the sender's clock; later another entry may hold the duty, and the order must not leave
 */
public record EngineOrder(
        String target,
        String address,
        OrderAction action,
        String model,
        Optional<String> adapter,
        long expectedCount,
        long fencingToken,
        long sendUntilMillis) {}
