package org.jackdawbeam.bench.decision;

import org.jackdawbeam.logic.entry.EntryOptions;
import org.jackdawbeam.logic.entry.QueuePolicy;
import org.jackdawbeam.logic.placement.PlacementPolicy;
import org.jackdawbeam.logic.routing.RoutingPolicy;

/**
 * Combination of routing, queueing, placement and borrowing policies to compare.
 *
 * @param name name on the command line and in tables
 * @param options options of the entries, including the policies
 * @param allModelsResident whether all models are resident on all engines regardless of memory, as an upper bound
 */
public record Variant(String name, EntryOptions options, boolean allModelsResident) {

    /** Returns the default policies of the daemon. */
    public static Variant product() {
        return new Variant("product", EntryOptions.defaults(), false);
    }

    /** Returns the default policies with static placement and all models resident on all engines. */
    public static Variant upperBound() {
        return new Variant("upper-bound", EntryOptions.defaults().withPlacement(new PlacementPolicy.Static()), true);
    }

    /** Returns the variant with the given name, or throws if there is none. */
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
            default -> throw new IllegalArgumentException("unknown variant: " + name);
        };
    }

    private static Variant variant(String name, EntryOptions options) {
        return new Variant(name, options, false);
    }
}
