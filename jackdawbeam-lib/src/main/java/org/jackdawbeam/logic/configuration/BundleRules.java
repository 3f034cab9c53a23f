package org.jackdawbeam.logic.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.jackdawbeam.model.bundle.AdapterSpecification;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.bundle.KeySpecification;
import org.jackdawbeam.model.bundle.ModelSpecification;
import org.jackdawbeam.model.bundle.RouteSpecification;
import org.jackdawbeam.model.bundle.TargetKind;
import org.jackdawbeam.model.bundle.TargetSpecification;
import org.jackdawbeam.model.bundle.WorkspaceSpecification;

/**
 * Validation rules across several parts of a bundle: unique names, existing references, models that fit into memory.
 */
public final class BundleRules {

    /**
     * A rule violation.
     *
     * @param path location in the document as a JSON pointer
     * @param message the problem and the expected value
     */
    public record Violation(String path, String message) {}

    private final Bundle bundle;
    private final List<Violation> violations = new ArrayList<>();

    private BundleRules(Bundle bundle) {
        this.bundle = bundle;
    }

    /** Returns all rule violations. */
    public static List<Violation> check(Bundle bundle) {
        BundleRules rules = new BundleRules(bundle);
        rules.checkNames();
        rules.checkReferences();
        rules.checkMemory();
        return List.copyOf(rules.violations);
    }

    private void checkNames() {
        checkUnique("/models", "name", bundle.models(), ModelSpecification::name);
        checkUnique("/adapters", "name", bundle.adapters(), AdapterSpecification::name);
        checkUnique("/workspaces", "name", bundle.workspaces(), WorkspaceSpecification::name);
        checkUnique("/keys", "id", bundle.keys(), KeySpecification::id);
        checkUnique("/targets", "name", bundle.targets(), TargetSpecification::name);
        checkUnique("/targets", "address", bundle.targets(), TargetSpecification::address);
        checkUnique("/routes", "path", bundle.routes(), RouteSpecification::path);
        Set<String> models = names(bundle.models(), ModelSpecification::name);
        for (int index = 0; index < bundle.adapters().size(); index++) {
            String name = bundle.adapters().get(index).name();
            if (models.contains(name)) {
                add("/adapters/" + index + "/name", "\"" + name + "\" is also the name of a model");
            }
        }
    }

    private void checkReferences() {
        Set<String> models = names(bundle.models(), ModelSpecification::name);
        Set<String> workspaces = names(bundle.workspaces(), WorkspaceSpecification::name);
        Set<String> services = new HashSet<>();
        bundle.targets().forEach(target -> target.service().ifPresent(services::add));
        for (int index = 0; index < bundle.adapters().size(); index++) {
            String model = bundle.adapters().get(index).model();
            requireKnown(models, model, "/adapters/" + index + "/model", "model");
        }
        for (int index = 0; index < bundle.keys().size(); index++) {
            String workspace = bundle.keys().get(index).workspace();
            requireKnown(workspaces, workspace, "/keys/" + index + "/workspace", "workspace");
        }
        for (int index = 0; index < bundle.routes().size(); index++) {
            RouteSpecification route = bundle.routes().get(index);
            requireKnown(services, route.service(), "/routes/" + index + "/service", "service of a target");
            String path = "/routes/" + index + "/workspaces";
            route.workspaces().forEach(workspace -> requireKnown(workspaces, workspace, path, "workspace"));
        }
    }

    private void checkMemory() {
        long largest = bundle.targets().stream()
                .filter(target -> target.kind() == TargetKind.ENGINE)
                .mapToLong(target -> target.capacityBytes() - target.cacheReserveBytes())
                .max()
                .orElse(0);
        for (int index = 0; index < bundle.models().size(); index++) {
            ModelSpecification model = bundle.models().get(index);
            if (model.bytes() > largest) {
                add(
                        "/models/" + index + "/bytes",
                        "no engine has room for " + model.bytes() + " bytes; the largest has " + largest);
            }
        }
        for (int index = 0; index < bundle.targets().size(); index++) {
            TargetSpecification target = bundle.targets().get(index);
            boolean serviceWithoutName =
                    target.kind() == TargetKind.SERVICE && target.service().isEmpty();
            if (serviceWithoutName) {
                add("/targets/" + index, "a target of kind SERVICE needs \"service\"");
            }
        }
    }

    private <T> void checkUnique(String list, String field, List<T> items, Function<T, String> nameOf) {
        Set<String> seen = new HashSet<>();
        for (int index = 0; index < items.size(); index++) {
            String name = nameOf.apply(items.get(index));
            if (!seen.add(name)) {
                add(list + "/" + index + "/" + field, "\"" + name + "\" occurs twice; it must be unique");
            }
        }
    }

    private static <T> Set<String> names(List<T> items, Function<T, String> nameOf) {
        Set<String> names = new HashSet<>();
        items.forEach(item -> names.add(nameOf.apply(item)));
        return names;
    }

    private void requireKnown(Set<String> known, String name, String path, String kind) {
        if (!known.contains(name)) {
            add(path, "\"" + name + "\" is not the name of a " + kind + " in this bundle");
        }
    }

    private void add(String path, String message) {
        violations.add(new Violation(path, message));
    }
}
