package org.jackdawbeam.model.bundle;

import java.util.List;
import java.util.Optional;

/**
 * The configuration that operators activate as one unit. Lists are immutable and names are unique within each list.
 *
 * @param name human-readable name of the deployment
 * @param store limits of the weight store
 */
public record Bundle(
        String name,
        StoreSpecification store,
        List<ModelSpecification> models,
        List<AdapterSpecification> adapters,
        List<WorkspaceSpecification> workspaces,
        List<KeySpecification> keys,
        List<TargetSpecification> targets,
        List<RouteSpecification> routes) {

    public Bundle {
        store = store == null ? StoreSpecification.defaults() : store;
        models = models == null ? List.of() : List.copyOf(models);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        workspaces = workspaces == null ? List.of() : List.copyOf(workspaces);
        keys = keys == null ? List.of() : List.copyOf(keys);
        targets = targets == null ? List.of() : List.copyOf(targets);
        routes = routes == null ? List.of() : List.copyOf(routes);
    }

    /** Returns the workspace with the given name. */
    public Optional<WorkspaceSpecification> workspace(String workspaceName) {
        return workspaces.stream()
                .filter(workspace -> workspace.name().equals(workspaceName))
                .findFirst();
    }

    /** Returns the target with the given name. */
    public Optional<TargetSpecification> target(String targetName) {
        return targets.stream()
                .filter(target -> target.name().equals(targetName))
                .findFirst();
    }

    /** Returns the model with the given name. */
    public Optional<ModelSpecification> model(String modelName) {
        return models.stream().filter(model -> model.name().equals(modelName)).findFirst();
    }

    /** Returns the route with the longest path that is a prefix of the given path. */
    public Optional<RouteSpecification> route(String requestPath) {
        return routes.stream()
                .filter(route -> covers(route.path(), requestPath))
                .max((left, right) ->
                        Integer.compare(left.path().length(), right.path().length()));
    }

    private static boolean covers(String routePath, String requestPath) {
        return requestPath.equals(routePath) || requestPath.startsWith(routePath + "/");
    }
}
