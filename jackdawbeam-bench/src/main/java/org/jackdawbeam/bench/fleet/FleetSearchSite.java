package org.jackdawbeam.bench.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.jackdawbeam.model.fleet.CallerLimits;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.ModelDefinition;
import org.jackdawbeam.model.fleet.PromptPart;
import org.jackdawbeam.model.fleet.Route;
import org.jackdawbeam.model.fleet.RouteKind;
import org.jackdawbeam.model.fleet.ServiceDefinition;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.fleet.WeightedService;
import org.jackdawbeam.model.fleet.Workspace;

/** Small deployment for the search, with more models and adapters than fit on the engines at once. */
final class FleetSearchSite {
    static final String ENGINES = "engines";
    static final String SERVICE = "payments";
    static final String ZONE = "zone-1";
    static final String EVACUATED_ZONE = "zone-2";
    static final String KEY = "key";
    static final String LIMITED_KEY = "limited-key";
    static final double LIMITED_RATE = 1_000;
    static final List<String> MODELS = List.of("m1", "m2", "m3", "m4", "m5", "m6");
    static final List<String> ADAPTERS = List.of("a1", "a2", "a3");
    static final List<String> ROUTES = List.of("chat", "letter", "pay", "read");
    static final EngineDefinition ENGINE = engine(MODELS);

    private static final double REQUEST_UNITS = 200;
    private static final String SEPARATOR = "|";

    private FleetSearchSite() {}

    static FleetBounds bounds(boolean enginesCheckTokens) {
        return new FleetBounds(5_000, enginesCheckTokens, 3_000, 8_000, 0.2, 56, 10_000, 5_000, 5)
                .withEvacuateMillis(OptionalLong.of(5_000));
    }

    /** Returns a configuration whose unlimited workspace has a permanent key and one that changes per version. */
    static FleetConfiguration configuration(long version, String changingKey) {
        return configuration(version, changingKey, VersionContents.all());
    }

    /** Returns the same with a part of the deployment only. */
    static FleetConfiguration configuration(long version, String changingKey, VersionContents contents) {
        List<Route> routes = Stream.of(
                        route("chat", RouteKind.STREAMING, false, ENGINES),
                        route("letter", RouteKind.STREAMING, true, ENGINES),
                        route("pay", RouteKind.UNSAFE, false, SERVICE),
                        route("read", RouteKind.SAFE, false, SERVICE))
                .filter(route -> contents.routes().contains(route.name()))
                .toList();
        Optional<EngineDefinition> engine =
                contents.placesModels() ? Optional.of(engine(contents.models())) : Optional.empty();
        List<ServiceDefinition> services = Stream.of(
                        new ServiceDefinition(ENGINES, 300, engine),
                        new ServiceDefinition(SERVICE, 100, Optional.empty()))
                .filter(service -> routes.stream()
                        .anyMatch(route -> route.services().getFirst().service().equals(service.name())))
                .toList();
        List<Workspace> workspaces = Stream.of(
                        workspace("w", Set.of(KEY, changingKey), 1e9),
                        workspace("l", Set.of(LIMITED_KEY), LIMITED_RATE))
                .filter(workspace ->
                        contents.limitedWorkspace() || !workspace.name().equals("l"))
                .toList();
        return FleetConfiguration.of(version, routes, services, CallerLimits.defaults(), workspaces);
    }

    static TargetDescription engine(String id, String zone, Set<String> models) {
        return new TargetDescription(id, ENGINES, id + ":1", zone, 64, false, models, Set.of(), 0, 0);
    }

    static TargetDescription service() {
        return new TargetDescription("service", SERVICE, "service:1", ZONE, 64, false, Set.of(), Set.of(), 0, 0);
    }

    /** Returns a request whose id encodes the model and adapter that it needs. */
    static CallerRequest call(long number, String route, String key, String model, String adapter) {
        String id = number + SEPARATOR + model + SEPARATOR + adapter;
        return new CallerRequest(
                id,
                "host",
                "/" + route + "/x",
                Optional.of(key),
                4_000,
                Optional.of(model).filter(name -> !name.isEmpty()),
                Optional.of(adapter).filter(name -> !name.isEmpty()),
                (long) REQUEST_UNITS,
                0,
                !model.isEmpty(),
                List.of(new PromptPart(number, (int) REQUEST_UNITS)),
                number);
    }

    static double units() {
        return REQUEST_UNITS;
    }

    /** Returns whether an engine holds the model and adapter that a request needs according to its id. */
    static boolean holds(SimulatedEngine engine, String requestId) {
        String[] parts = requestId.split("\\" + SEPARATOR, -1);
        return engine.holds(parts[1], Optional.of(parts[2]).filter(name -> !name.isEmpty()));
    }

    private static EngineDefinition engine(Collection<String> names) {
        Map<String, ModelDefinition> models = new HashMap<>();
        names.forEach(name -> models.put(name, new ModelDefinition(name, 70_000, 1_200, 600, 400, 60)));
        return new EngineDefinition(64, 160_000, 200_000, 2, 2.4, Map.copyOf(models));
    }

    private static Workspace workspace(String name, Set<String> keys, double rate) {
        return new Workspace(name, keys, OptionalInt.empty(), rate, rate, true, REQUEST_UNITS);
    }

    private static Route route(String name, RouteKind kind, boolean resumable, String service) {
        return new Route(
                name,
                "host",
                "/" + name + "/",
                kind,
                4_000,
                600,
                1,
                2,
                false,
                resumable,
                List.of(new WeightedService(service, 1)));
    }
}
