package org.jackdawbeam.bench.decision;

import org.jackdawbeam.logic.entry.EntryOptions;
import org.jackdawbeam.logic.entry.QueuePolicy;
import org.jackdawbeam.logic.placement.PlacementPolicy;
import org.jackdawbeam.logic.routing.RoutingPolicy;

/**
 * A choice of policies.
 *
 * @param name name in tables
 * @param options the policies
 * @param allModelsResident whether every model is resident on every engine for free, as an upper bound
 */
public record Variant(String name, EntryOptions options, boolean allModelsResident) {

    /** Returns the policies of a daemon. */
    public static Variant product() {
        return new Variant("product", EntryOptions.defaults(), false);
    }

    /** Returns the policies of a daemon with every model resident everywhere. */
    public static Variant upperBound() {
        return new Variant("upper-bound", EntryOptions.defaults().withPlacement(new PlacementPolicy.Static()), true);
    }

    /** Returns the variant with the given name. */
    public static Variant named(String name) {
        EntryOptions defaults = EntryOptions.defaults();
        return switch (name) {
            case "product" -> product();
            case "upper-bound" -> upperBound();
            case "random" -> variant(name, defaults.withRouting(new RoutingPolicy.Random()));
            case "round-robin" -> variant(name, defaults.withRouting(new RoutingPolicy.RoundRobin()));
            case "least-outstanding" -> variant(name, defaults.withRouting(new RoutingPolicy.LeastOutstanding()));
            case "two-choices" -> variant(name, defaults.withRouting(new RoutingPolicy.TwoChoices()));
            case "no-prefixes" ->
                variant(name, defaults.withRouting(new RoutingPolicy.EstimatedFirstToken(false, true)));
            case "no-delivery" ->
                variant(name, defaults.withRouting(new RoutingPolicy.EstimatedFirstToken(true, false)));
            case "first-come" -> variant(name, defaults.withQueueing(QueuePolicy.FIRST_COME));
            case "equal-split" -> variant(name, defaults.withQueueing(QueuePolicy.EQUAL_SPLIT));
            case "static-placement" -> variant(name, defaults.withPlacement(new PlacementPolicy.Static()));
            case "lru-placement" -> variant(name, defaults.withPlacement(new PlacementPolicy.LeastRecentlyUsed()));
            case "static-shares" -> variant(name, defaults.withBorrowing(false));
            default -> throw new IllegalArgumentException("no variant " + name);
        };
    }

    private static Variant variant(String name, EntryOptions options) {
        return new Variant(name, options, false);
    }
}
