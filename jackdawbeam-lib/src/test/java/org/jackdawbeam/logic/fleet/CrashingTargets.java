package org.jackdawbeam.logic.fleet;

import java.util.Set;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.TargetDescription;

/** Names of the engines and services of a {@link CrashingPromptFleet}, and how the list of targets describes them. */
final class CrashingTargets {
    private static final String SERVICE_PREFIX = "s";

    private CrashingTargets() {}

    static String engineId(int number) {
        return "e" + (10 + number);
    }

    static String serviceId(int number) {
        return SERVICE_PREFIX + (10 + number);
    }

    static FeedEntry listed(String id, long startedAtMillis) {
        boolean service = id.startsWith(SERVICE_PREFIX);
        return new FeedEntry.Target(new TargetDescription(
                id,
                service ? "payments" : "engines",
                (service ? "10.0.0.2:" : "10.0.0.1:") + id.substring(1),
                "zone-0",
                64,
                false,
                service ? Set.of() : Set.of("m1"),
                Set.of(),
                startedAtMillis,
                0));
    }
}
