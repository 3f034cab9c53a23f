package org.jackdawbeam.logic.rate;

import org.jackdawbeam.model.fleet.ColdTolerance;
import org.jackdawbeam.model.fleet.WarmUp;

/**
 * Rate of requests to one target that all entries share without asking each other. The first entries in rendezvous
 * order for the target may send; each has an equal part of the rate and may send one request at once. The fewer
 * requests a target accepts, the fewer entries there are, so that those single requests stay small against what the
 * target tolerates, and the parts stay large enough to be used.
 *
 * @param requestsPerSecond rate of all entries together
 * @param senders number of entries that may send
 */
public record SharedRate(double requestsPerSecond, double senders) {
    private static final int MIN_SENDERS = 3; // single requests at once that every target tolerates
    private static final double SENDERS_PER_REQUEST_SECOND = 2;
    /** Lowest rate of all entries together. Without requests nobody would learn that a limit has ended. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.25;

    /** Part of a cold target's rate that is used. The rest covers requests that leave up to a quarter second late. */
    private static final double USED_SHARE_OF_COLD_RATE = 0.8;

    /** Part of the requests above the rate that senders may use at once; entries that disagree use the others. */
    private static final double USED_SHARE_OF_TOLERANCE = 0.5;

    /** Returns the rate of a target that states its limit. */
    public static SharedRate stated(double requestsPerSecond) {
        return new SharedRate(
                Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond),
                MIN_SENDERS + SENDERS_PER_REQUEST_SECOND * requestsPerSecond);
    }

    /** Returns the rate of a cold target. */
    public static SharedRate cold(WarmUp warmUp, ColdTolerance tolerance) {
        double aboveRate = tolerance.requestsInOneSecond(warmUp) - warmUp.requestsPerSecond();
        return new SharedRate(
                warmUp.requestsPerSecond() * USED_SHARE_OF_COLD_RATE, Math.max(1, aboveRate * USED_SHARE_OF_TOLERANCE));
    }

    /** Returns the rate of a target that may be cold, as far as this entry alone knows. Each entry has a part. */
    public static SharedRate suspected(WarmUp warmUp, ColdTolerance tolerance) {
        return new SharedRate(tolerance.requestsInOneSecond(warmUp), Integer.MAX_VALUE);
    }

    /**
     * Returns the part of an entry in requests per second, zero if only others may send.
     *
     * @param members number of all entries
     * @param reachableShare share of them that the entry can reach
     * @param rank rank of the entry in rendezvous order among those
     */
    public double part(int members, double reachableShare, int rank) {
        // Parts of a fleet that do not hear each other choose senders of their own, so each chooses fewer.
        int reachableSenders = (int) Math.max(1, Math.min(members, senders) * reachableShare);
        return rank < reachableSenders ? requestsPerSecond * reachableShare / reachableSenders : 0;
    }
}
