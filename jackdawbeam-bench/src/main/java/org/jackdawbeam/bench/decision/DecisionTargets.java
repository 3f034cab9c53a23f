package org.jackdawbeam.bench.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Checks results against the targets that users have stated for scheduling decisions. */
public final class DecisionTargets {
    private static final double CALM_SHARE_OF_REFERENCE = 0.9;
    private static final double HOT_SHARE_OF_REFERENCE = 0.8;
    private static final double UNREACHABLE_MILLIS = 10_000;
    private static final double REFUSED_WITH_ENTRY_KILLED = 0.001;
    private static final double QUIET_SHARE_OF_ALONE = 0.95;

    private DecisionTargets() {}

    /**
     * Returns the targets that a result misses.
     *
     * @param result result of the product variant
     * @param reference result with every model resident everywhere, under the same scenario and seed
     */
    public static List<String> missed(Scenario scenario, DecisionResult result, DecisionResult reference) {
        List<String> missed = new ArrayList<>();
        double share = result.attainment() / reference.attainment();
        switch (scenario) {
            case CALM -> require(missed, "attainment relative to the reference", share, CALM_SHARE_OF_REFERENCE);
            case HOT_AFTERNOON ->
                require(missed, "attainment relative to the reference", share, HOT_SHARE_OF_REFERENCE);
            case ENTRY_KILLED ->
                require(
                        missed,
                        "share of the requests within the rate that were not refused as over it",
                        1 - result.refusedInsideRate(),
                        1 - REFUSED_WITH_ENTRY_KILLED);
            default -> {
                // Users have stated no target for the other scenarios apart from reachability.
            }
        }
        require(
                missed,
                "milliseconds left until the reachability bound",
                UNREACHABLE_MILLIS - result.unreachableMillis(),
                0);
        return List.copyOf(missed);
    }

    /** Returns the targets that workspaces within their rates miss while another one sends five times its rate. */
    public static List<String> missedByQuietWorkspaces(DecisionResult noisy, DecisionResult calm) {
        List<String> missed = new ArrayList<>();
        double share = noisy.attainment() / calm.attainment();
        require(missed, "attainment relative to the run without the noisy workspace", share, QUIET_SHARE_OF_ALONE);
        return List.copyOf(missed);
    }

    private static void require(List<String> missed, String name, double value, double minimum) {
        if (value < minimum) {
            missed.add(String.format(Locale.ROOT, "%s is %.4f and should be at least %.4f", name, value, minimum));
        }
    }
}
