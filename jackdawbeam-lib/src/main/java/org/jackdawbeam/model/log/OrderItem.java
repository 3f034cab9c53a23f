package org.jackdawbeam.model.log;

/**
 * One step of an order.
 *
 * @param action requested action
 * @param name name of the model or adapter
 * @param bytes accelerator memory of the model or adapter, in bytes
 */
public record OrderItem(OrderAction action, String name, long bytes) {

    /** Returns whether this step allocates accelerator memory. */
    public boolean loads() {
        return action == OrderAction.LOAD_MODEL || action == OrderAction.LOAD_ADAPTER;
    }
}
