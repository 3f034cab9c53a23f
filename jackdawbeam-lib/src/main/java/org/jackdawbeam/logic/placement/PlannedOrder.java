package org.jackdawbeam.logic.placement;

import java.util.List;
import org.jackdawbeam.model.log.OrderItem;

/**
 * An order planned by the placement.
 *
 * @param target name of the engine
 * @param items steps, executed in sequence
 */
public record PlannedOrder(String target, List<OrderItem> items) {}
