package org.jackdawbeam.model.fleet;

import java.util.Optional;
import org.jackdawbeam.model.log.OrderAction;

/**
 * An order to an engine to load or unload a model or adapter.
 *
 * @param expectedCount number of orders accepted so far; the engine rejects the order if its own count differs
 * @param fencingToken increases with each holder of the placement duty
 * @param sendUntilMillis latest time to send the order, by the sender's clock; after it, another entry may hold the
 *     placement duty
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
