package org.jackdawbeam.model.fleet;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A workspace with its keys and its rate limit, which applies to the whole fleet.
 *
 * @param keys keys of its callers
 * @param priority priority that overrides the priority of the route
 * @param ratePerSecond units accrued per second; 0 means unlimited
 * @param burst maximum number of units that may accumulate
 * @param countsTokens whether units are tokens; otherwise each request is one unit
 * @param plainTokens tokens charged for a request without a token count
 */
public record Workspace(
        String name,
        Set<String> keys,
        OptionalInt priority,
        double ratePerSecond,
        double burst,
        boolean countsTokens,
        double plainTokens) {

    /** Returns whether the workspace has a rate limit. */
    public boolean limited() {
        return ratePerSecond > 0;
    }
}
