package org.jackdawbeam.bench.fleet;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What a version of the configuration has of the deployment.
 *
 * @param models models of the engines
 * @param routes names of the routes; a service without a route is left out
 * @param placesModels whether the configuration says what the engines can hold
 * @param limitedWorkspace whether the workspace with a low rate is there
 */
record VersionContents(Set<String> models, Set<String> routes, boolean placesModels, boolean limitedWorkspace) {
    private static final double KEPT_SHARE = 0.75;
    private static final double PLACING_SHARE = 0.9;

    static VersionContents all() {
        return new VersionContents(Set.copyOf(FleetSearchSite.MODELS), Set.copyOf(FleetSearchSite.ROUTES), true, true);
    }

    static VersionContents draw(Random random) {
        return new VersionContents(
                some(FleetSearchSite.MODELS, random),
                some(FleetSearchSite.ROUTES, random),
                random.nextDouble() < PLACING_SHARE,
                random.nextDouble() < KEPT_SHARE);
    }

    private static Set<String> some(List<String> names, Random random) {
        return names.stream().filter(name -> random.nextDouble() < KEPT_SHARE).collect(Collectors.toUnmodifiableSet());
    }
}
