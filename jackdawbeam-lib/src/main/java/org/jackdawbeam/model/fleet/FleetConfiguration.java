package org.jackdawbeam.model.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * One version of the operator's configuration, indexed for lookups.
 *
 * @param version version number, which increases with each change
 * @param routesByHost routes of each lower-case host name, longest path prefix first
 * @param services services by name
 * @param workspaces workspaces by name; empty if requests need no key
 * @param workspaceByKey workspace of each key
 */
public record FleetConfiguration(
        long version,
        Map<String, List<Route>> routesByHost,
        Map<String, ServiceDefinition> services,
        CallerLimits limits,
        Map<String, Workspace> workspaces,
        Map<String, Workspace> workspaceByKey) {

    /** Creates a configuration and builds its indexes. */
    public static FleetConfiguration of(
            long version,
            List<Route> routes,
            List<ServiceDefinition> services,
            CallerLimits limits,
            List<Workspace> workspaces) {
        Map<String, List<Route>> byHost = new HashMap<>();
        routes.stream()
                .sorted(Comparator.comparingInt(
                        (Route route) -> -route.pathPrefix().length()))
                .forEach(route ->
                        byHost.merge(route.host().toLowerCase(), List.of(route), FleetConfiguration::concatenated));
        Map<String, ServiceDefinition> byName = new HashMap<>();
        services.forEach(service -> byName.put(service.name(), service));
        Map<String, Workspace> workspaceByName = new HashMap<>();
        Map<String, Workspace> byKey = new HashMap<>();
        workspaces.forEach(workspace -> {
            workspaceByName.put(workspace.name(), workspace);
            workspace.keys().forEach(key -> byKey.put(key, workspace));
        });
        return new FleetConfiguration(
                version,
                Map.copyOf(byHost),
                Map.copyOf(byName),
                limits,
                Map.copyOf(workspaceByName),
                Map.copyOf(byKey));
    }

    /** Returns the route with the longest path prefix that matches. */
    public Optional<Route> route(String host, String path) {
        return routesByHost.getOrDefault(host.toLowerCase(), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns a workspace by its name. */
    public Optional<Workspace> workspace(String name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    /** Returns the definition of a service. */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the definition of the engines of a service. */
    public Optional<EngineDefinition> engine(String service) {
        return service(service).flatMap(ServiceDefinition::engine);
    }

    private static List<Route> concatenated(List<Route> first, List<Route> second) {
        return Stream.concat(first.stream(), second.stream()).toList();
    }
}
