package org.jackdawbeam.model.fleet;

import java.util.OptionalInt;

/**
 * Load that a target reports with a response.
 *
 * @param slownessPercent how long work takes on its machine now, as a percentage of the usual, if stated
 */
public record TargetLoad(int running, int waiting, int slots, OptionalInt slownessPercent) {

    /** Creates the load of a target that states no slowness. */
    public TargetLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalInt.empty());
    }
}
