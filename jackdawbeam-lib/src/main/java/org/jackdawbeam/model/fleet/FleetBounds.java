package org.jackdawbeam.model.fleet;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Time limits and rates set by the deployment.
 *
 * @param revokeMillis time within which a withdrawn key must stop working
 * @param enginesCheckTokens whether engines reject orders with a fencing token lower than the highest they have seen
 * @param leadershipGapMillis minimum time between orders of two holders of the placement duty if engines do not check
 *     tokens
 * @param graceMillis time from the stop request until the process is killed
 * @param retryRatio retries per request, counted over all entries
 * @param retrySlack additional retries per window, counted over all entries
 * @param retryWindowMillis length of the window for the retry limits
 * @param loadWindowMillis length of the window for the limit on loads from the weight store
 * @param directoryTtlSeconds maximum time for which callers may cache a response of the directory
 * @param evacuateMillis time within which the targets of an evacuated availability zone must stop getting requests, if
 *     the deployment states one
 * @param coldTolerance bound on the requests to cold targets; empty if they need no protection
 */
public record FleetBounds(
        long revokeMillis,
        boolean enginesCheckTokens,
        long leadershipGapMillis,
        long graceMillis,
        double retryRatio,
        double retrySlack,
        long retryWindowMillis,
        long loadWindowMillis,
        int directoryTtlSeconds,
        OptionalLong evacuateMillis,
        Optional<ColdTolerance> coldTolerance) {

    /** Creates the bounds of a deployment that neither evacuates zones nor protects cold targets. */
    public FleetBounds(
            long revokeMillis,
            boolean enginesCheckTokens,
            long leadershipGapMillis,
            long graceMillis,
            double retryRatio,
            double retrySlack,
            long retryWindowMillis,
            long loadWindowMillis,
            int directoryTtlSeconds) {
        this(
                revokeMillis,
                enginesCheckTokens,
                leadershipGapMillis,
                graceMillis,
                retryRatio,
                retrySlack,
                retryWindowMillis,
                loadWindowMillis,
                directoryTtlSeconds,
                OptionalLong.empty(),
                Optional.empty());
    }

    /** Returns the bounds with a time within which a zone must be evacuated. */
    public FleetBounds withEvacuateMillis(OptionalLong millis) {
        return with(millis, coldTolerance);
    }

    /** Returns the bounds with the given tolerance of cold targets. */
    public FleetBounds withColdTolerance(ColdTolerance tolerance) {
        return with(evacuateMillis, Optional.of(tolerance));
    }

    private FleetBounds with(OptionalLong millis, Optional<ColdTolerance> tolerance) {
        return new FleetBounds(
                revokeMillis,
                enginesCheckTokens,
                leadershipGapMillis,
                graceMillis,
                retryRatio,
                retrySlack,
                retryWindowMillis,
                loadWindowMillis,
                directoryTtlSeconds,
                millis,
                tolerance);
    }
}
