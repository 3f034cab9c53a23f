package org.jackdawbeam.model.fleet;

import java.util.Set;

/**
 * Description of a target as published in the platform's list.
 *
 * @param id id of the target process
 * @param address IP address and port
 * @param slots number of requests served concurrently
 * @param leaving whether the target receives no new requests
 * @param models names of the loaded models
 * @param atHand models with weights in host memory or on local disk
 * @param startedAtMillis Unix time of the start; a different value under the same id means that the target has
 *     restarted
 * @param orderCount number of orders accepted since the start
 * @param coldMillis how long the target stayed cold after it published this, zero if it was warm
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
        long orderCount,
        long coldMillis) {

    /** Creates the description of a warm target. */
    public TargetDescription(
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
        this(id, service, address, zone, slots, leaving, models, atHand, startedAtMillis, orderCount, 0);
    }

    /** Returns the description with the given remaining cold time. */
    public TargetDescription withColdMillis(long millis) {
        return new TargetDescription(
                id, service, address, zone, slots, leaving, models, atHand, startedAtMillis, orderCount, millis);
    }

    /** Returns the description with the given models. */
    public TargetDescription withModels(Set<String> held) {
        return new TargetDescription(
                id, service, address, zone, slots, leaving, held, atHand, startedAtMillis, orderCount, coldMillis);
    }

    /** Returns whether both descriptions are equal except for the order count. */
    public boolean equalsIgnoringOrderCount(TargetDescription other) {
        TargetDescription counted = new TargetDescription(
                id,
                service,
                address,
                zone,
                slots,
                leaving,
                models,
                atHand,
                startedAtMillis,
                other.orderCount,
                coldMillis);
        return counted.equals(other);
    }
}
