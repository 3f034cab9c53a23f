package org.jackdawbeam.bench.policy;

import java.util.Comparator;
import java.util.List;

/**
 * Parts of the requests of a kind that were served, by size.
 *
 * @param largestTenth part of the largest tenth that was served
 * @param fifthBelow part of the fifth below it that was served
 * @param all part of all that were served
 */
record ServedShares(double largestTenth, double fifthBelow, double all) {

    /** A request that has ended. */
    record EndedRequest(long size, PolicyResult.End result) {}

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

    /** Returns how often the worse of the two groups of large requests was served against all. */
    double worstRatio() {
        return all == 0 ? 1 : Math.min(largestTenth, fifthBelow) / all;
    }
}
