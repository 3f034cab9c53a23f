package org.jackdawbeam.logic.request;

import org.jackdawbeam.logic.queue.FairQueue;

/**
 * Requests that wait for one pool of targets, with the observed departure rate.
 *
 * @param queue waiting requests
 * @param departureIntervalMillis smoothed time between departures while requests were waiting; zero if unknown
 * @param lastDepartureMillis time of the last departure
 */
public record Pool(FairQueue queue, double departureIntervalMillis, long lastDepartureMillis) {
    private static final double SMOOTHING = 0.1;
    private static final long IDLE_MILLIS = 1_000;

    /** Returns a pool without requests. */
    public static Pool empty() {
        return new Pool(FairQueue.empty(), 0, 0);
    }

    /** Returns the pool with another queue. */
    public Pool withQueue(FairQueue newQueue) {
        return new Pool(newQueue, departureIntervalMillis, lastDepartureMillis);
    }

    /** Records the dispatch of a request to a target. */
    public Pool departed(long requestId, long nowMillis) {
        boolean busy = queue.size() > 1 && nowMillis - lastDepartureMillis < IDLE_MILLIS;
        double interval = nowMillis - lastDepartureMillis;
        double smoothed = busy
                ? departureIntervalMillis + SMOOTHING * (interval - departureIntervalMillis)
                : departureIntervalMillis;
        return new Pool(queue.start(requestId), smoothed, nowMillis);
    }

    /** Returns the expected waiting time behind the given number of requests, in milliseconds. */
    public double waitMillis(int requestsBefore) {
        return requestsBefore * departureIntervalMillis;
    }
}
