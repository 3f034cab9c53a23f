package org.jackdawbeam.model.fleet;

import java.util.Set;

/**
 * What a target says of itself in the platform's list.
 *
 * @param id name of one start of the target
 * @param address IP address and port
 * @param slots requests served at once
 * @param leaving whether it gets nothing new
 * @param models names of the models that it holds
 * @param atHand models whose weights it has in host memory or on disk
 * @param startedAtMillis Unix time of its start; another value under the same id means that it has started again
 * @param orderCount orders accepted since its start
 */
public record TargetDescription(
        String id,
        String service,
        String address,
        String zone,
        int slots,
        boolean leaving,
        Set<String> models,
        Set<String> atHand,
        long startedAtMillis,
        long orderCount) {

    /** Returns the target with other models. */
    public TargetDescription withModels(Set<String> held) {
        return new TargetDescription(
                id, service, address, zone, slots, leaving, held, atHand, startedAtMillis, orderCount);
    }

    /** Returns whether the other description differs at most in the number of orders. */
    public boolean equalsIgnoringOrderCount(TargetDescription other) {
        TargetDescription counted = new TargetDescription(
                id, service, address, zone, slots, leaving, models, atHand, startedAtMillis, other.orderCount);
        return counted.equals(other);
    }
}
