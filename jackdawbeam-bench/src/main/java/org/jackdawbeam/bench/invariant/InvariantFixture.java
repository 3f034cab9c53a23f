package org.jackdawbeam.bench.invariant;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jackdawbeam.logic.configuration.KeyCredential;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.bundle.KeySpecification;
import org.jackdawbeam.model.bundle.ModelSpecification;
import org.jackdawbeam.model.bundle.RouteSpecification;
import org.jackdawbeam.model.bundle.StoreSpecification;
import org.jackdawbeam.model.bundle.TargetKind;
import org.jackdawbeam.model.bundle.TargetSpecification;
import org.jackdawbeam.model.bundle.WorkspaceSpecification;

/** A small deployment with scarce memory, rates and bursts, so that limits are reached often. */
final class InvariantFixture {
    static final String SERVICE = "payments";
    static final List<String> WORKSPACES = List.of("east", "west");
    static final int KEYS = 6;
    static final int MODELS = 4;
    private static final double TOKENS_PER_SECOND = 400;
    private static final double BURST_TOKENS = 800;
    private static final long MODEL_BYTES = 40;
    private static final long ENGINE_BYTES = 100;

    private InvariantFixture() {}

    static Bundle bundle(int variant) {
        List<ModelSpecification> models = new ArrayList<>();
        for (int number = 0; number < MODELS; number++) {
            models.add(new ModelSpecification("model-" + number, MODEL_BYTES, 1));
        }
        List<WorkspaceSpecification> workspaces = WORKSPACES.stream()
                .map(name -> new WorkspaceSpecification(name, TOKENS_PER_SECOND, BURST_TOKENS))
                .toList();
        List<KeySpecification> keys = new ArrayList<>();
        for (int number = 0; number < KEYS; number++) {
            keys.add(new KeySpecification("k" + number, "hash" + number, workspaceOf(number)));
        }
        List<TargetSpecification> targets = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            targets.add(new TargetSpecification(
                    "engine-" + number,
                    "engine-" + number + ":1",
                    zone(number),
                    TargetKind.ENGINE,
                    ENGINE_BYTES,
                    0,
                    number % 2 == 0,
                    Optional.empty()));
        }
        for (int number = 0; number < 2; number++) {
            targets.add(new TargetSpecification(
                    "service-" + number,
                    "service-" + number + ":1",
                    zone(number),
                    TargetKind.SERVICE,
                    0,
                    0,
                    false,
                    Optional.of(SERVICE)));
        }
        RouteSpecification route = new RouteSpecification(SERVICE + "/fees", SERVICE, false, false, 5, List.of());
        return new Bundle(
                "variant-" + variant,
                new StoreSpecification(3, 3, 25),
                models,
                List.of(),
                workspaces,
                keys,
                targets,
                List.of(route));
    }

    static String workspaceOf(int key) {
        return WORKSPACES.get(key % WORKSPACES.size());
    }

    static KeyCredential credential(int key) {
        return new KeyCredential("k" + key, "hash" + key);
    }

    static String zone(int number) {
        return List.of("a", "b", "c").get(number % 3);
    }
}
