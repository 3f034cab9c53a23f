package org.jackdawbeam.model.bundle;

import java.util.List;

/**
 * A route to a plain service.
 *
 * @param path path prefix below {@code /services/}, beginning with the service name
 * @param service service that handles the calls
 * @param openToAll whether the route needs no key
 * @param repeatable whether a call may be repeated after a target may have received it
 * @param costTokens cost of one call in charged tokens
 * @param workspaces workspaces that may use the route; empty if all may
 */
public record RouteSpecification(
        String path,
        String service,
        boolean openToAll,
        boolean repeatable,
        double costTokens,
        List<String> workspaces) {

    public RouteSpecification {
        workspaces = workspaces == null ? List.of() : List.copyOf(workspaces);
    }

    /** Returns whether requests of the workspace may use the route. */
    public boolean admits(String workspace) {
        return openToAll || workspaces.isEmpty() || workspaces.contains(workspace);
    }
}
