package org.jackdawbeam.logic.request;

import java.util.Optional;
import org.jackdawbeam.model.bundle.AdapterSpecification;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.request.Call.CompletionCall;
import org.jackdawbeam.model.request.Call.ServiceCall;

/** Resolves the model, adapter or route of a call. */
public final class WorkResolver {

    private WorkResolver() {}

    /** Resolves a completion call. Accepted model names are {@code model}, {@code adapter} or {@code model:adapter}. */
    public static Optional<Work> resolve(Bundle bundle, CompletionCall call) {
        String name = call.modelName();
        if (bundle.model(name).isPresent()) {
            return Optional.of(new Work.Completion(call, name, Optional.empty()));
        }
        return bundle.adapters().stream()
                .filter(adapter -> names(adapter, name))
                .findFirst()
                .map(adapter -> new Work.Completion(call, adapter.model(), Optional.of(adapter.name())));
    }

    /** Resolves a call to a plain service. */
    public static Optional<Work> resolve(Bundle bundle, ServiceCall call) {
        return bundle.route(call.path()).map(route -> new Work.Service(call, route));
    }

    private static boolean names(AdapterSpecification adapter, String name) {
        return name.equals(adapter.name()) || name.equals(adapter.model() + ":" + adapter.name());
    }
}
