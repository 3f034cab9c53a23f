package org.jackdawbeam.bench.policy;

import java.util.Comparator;
import java.util.List;

/**
 * Shares of the requests of a kind that were served, by size.
 *
 * @param largestTenth share served of the largest 10% of the requests
 * @param fifthBelow share served of the next 20%
 * @param all share served of all requests
 */
record ServedShares(double largestTenth, double fifthBelow, double all) {

    /** Size and outcome of a request. */
    record EndedRequest(long size, PolicyResult.Outcome result) {}

    static ServedShares of(List<EndedRequest> requests) {
        List<EndedRequest> sorted = requests.stream()
                .sorted(Comparator.comparingLong(EndedRequest::size).reversed())
                .toList();
        int tenth = sorted.size() / 10;
        return new ServedShares(
                served(sorted.subList(0, tenth)), served(sorted.subList(tenth, 3 * tenth)), served(sorted));
    }

    private static double served(List<EndedRequest> requests) {
        return requests.isEmpty()
                ? 1
                : (double) requests.stream()
                                .filter(request -> request.result().served())
                                .count()
                        / requests.size();
    }

    /** Returns the lower share of the two groups of large requests, relative to the share of all requests. */
    double worstRatio() {
        return all == 0 ? 1 : Math.min(largestTenth, fifthBelow) / all;
    }
}
