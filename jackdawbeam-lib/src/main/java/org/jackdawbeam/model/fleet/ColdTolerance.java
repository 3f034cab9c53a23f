package org.jackdawbeam.model.fleet;

/**
 * By how much the requests to a cold target may exceed its rate in any one second.
 *
 * @param overshoot factor on the rate
 * @param slack additional requests
 */
public record ColdTolerance(double overshoot, double slack) {

    /** Returns how many requests a target that warms up may get in any one second. */
    public double requestsInOneSecond(WarmUp warmUp) {
        return warmUp.requestsPerSecond() * overshoot + slack;
    }
}
