package org.jackdawbeam.model.fleet;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a target says of itself with an answer.
 *
 * @param load its load, if it tells
 * @param leaving whether it is about to leave and must get nothing new
 * @param retryDelayMillis how long it wants nothing from this entry, from now on; only with a rejection
 */
public record TargetStatement(Optional<TargetLoad> load, boolean leaving, OptionalLong retryDelayMillis) {
    private static final TargetStatement EMPTY = new TargetStatement(Optional.empty(), false, OptionalLong.empty());

    /** Returns the statement of a target that says nothing of itself. */
    public static TargetStatement empty() {
        return EMPTY;
    }
}
