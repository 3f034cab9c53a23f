package org.jackdawbeam.model.fleet;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A workspace with its keys and its token rate over the whole fleet.
 *
 * @param keys keys of its callers
 * @param priority rank that goes before that of the route
 * @param ratePerSecond units accrued each second; 0 means no limit
 * @param burst most units that may be saved up
 * @param countsTokens whether units are tokens; otherwise each request is one unit
 * @param plainTokens tokens that a request without a token count is charged
 */
public record Workspace(
        String name,
        Set<String> keys,
        OptionalInt priority,
        double ratePerSecond,
        double burst,
        boolean countsTokens,
        double plainTokens) {

    /** Returns whether requests are limited at all. */
    public boolean limited() {
        return ratePerSecond > 0;
    }
}
