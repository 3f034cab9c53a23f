package org.jackdawbeam.model.fleet;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Status that a target reports in the headers of a response.
 *
 * @param load load of the target, if reported
 * @param leaving whether the target is about to leave and must receive no new requests
 * @param retryDelayMillis time for which this entry must send no requests to the target; only with a rejection
 * @param requestsPerSecond requests that the target accepts from all entries together, if it is limited
 */
public record TargetStatement(
        Optional<TargetLoad> load, boolean leaving, OptionalLong retryDelayMillis, OptionalDouble requestsPerSecond) {
    private static final TargetStatement EMPTY =
            new TargetStatement(Optional.empty(), false, OptionalLong.empty(), OptionalDouble.empty());

    /** Returns the statement of a target that reports no status. */
    public static TargetStatement empty() {
        return EMPTY;
    }
}
