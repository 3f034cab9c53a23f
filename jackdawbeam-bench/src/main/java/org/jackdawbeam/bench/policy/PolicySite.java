package org.jackdawbeam.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import org.jackdawbeam.model.fleet.CallerLimits;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.ModelDefinition;
import org.jackdawbeam.model.fleet.Route;
import org.jackdawbeam.model.fleet.RouteKind;
import org.jackdawbeam.model.fleet.ServiceDefinition;
import org.jackdawbeam.model.fleet.WeightedService;
import org.jackdawbeam.model.fleet.Workspace;

/**
 * Parameters of a simulated deployment.
 *
 * @param entries number of entry hosts
 * @param zones number of availability zones, over which entries and engines are spread evenly
 * @param engines models initially resident on each engine
 * @param speed speed and local storage of each engine
 */
record PolicySite(
        String name,
        int entries,
        int zones,
        List<Set<String>> engines,
        EngineDefinition definition,
        EngineSpeed speed,
        List<RequestKind> kinds) {
    static final String SERVICE = "engines";
    static final String KEY = "key";
    private static final int MAX_ATTEMPTS = 2;
    private static final int LARGE_ENGINES = 42;
    private static final int SMALL_MODEL_INTERVAL = 6; // every sixth model is small

    /**
     * Speed and local storage of an engine.
     *
     * @param tokensPerMilli prefill speed in prompt tokens per millisecond
     * @param stepMillis base duration of a step that decodes one token for each running request
     * @param stepMillisPerRequest additional step duration per decoding request
     * @param chunkTokens maximum number of prompt tokens processed in one step (chunked prefill)
     * @param attentionMillis duration per million pairs of a prompt token and a token before it
     * @param tokensPerEvent number of tokens in an event of a stream
     * @param memoryMegabytes host memory for cached weights
     * @param diskMegabytes disk space for cached weights
     */
    record EngineSpeed(
            double tokensPerMilli,
            double stepMillis,
            double stepMillisPerRequest,
            int chunkTokens,
            double attentionMillis,
            int tokensPerEvent,
            double memoryMegabytes,
            double diskMegabytes) {}

    /** Returns all sites. */
    static List<PolicySite> all() {
        return List.of(fewLargeEngines(), manySmallEngines(), manyLargeEngines());
    }

    /** Long shared prompts for a few models with alternating demand, plus rare models; two models per engine. */
    static PolicySite fewLargeEngines() {
        List<String> popular = modelNames(0, 5);
        List<String> rare = modelNames(5, 13);
        List<RequestKind.SharedPart> archive =
                List.of(new RequestKind.SharedPart(2_520, 3), new RequestKind.SharedPart(3_780, 26));
        List<RequestKind.SharedPart> chat =
                List.of(new RequestKind.SharedPart(119, 3), new RequestKind.SharedPart(79, 34));
        return new PolicySite(
                "few-large-engines",
                9,
                1,
                initialPlacement(6, List.of("m0", "m1", "m0", "m1", "m0", "m0", "m2", "m3", "m4", "m5", "m6", "m7")),
                definition(13, 5_800, 1_200, 630, 8, 1.1, 261_290),
                new EngineSpeed(38.4, 5.23, 0.05, 4_096, 0, 4, 140_000, 430_000),
                List.of(
                        new RequestKind(
                                "report", 9.95, 800, 6_000, 4_800, 600, 2.3, 1.1, archive, 1_750, 40, popular, 2, 0.1,
                                12),
                        new RequestKind(
                                "archive", 1.38, 5_000, 15_000, 15_000, 600, 2.3, 1.1, archive, 1_750, 40, rare, 8, 0,
                                0),
                        new RequestKind(
                                "chat", 12.7, 600, 15_000, 4_800, 600, 0.86, 0.43, chat, 380, 230, popular, 2, 0.5,
                                12)));
    }

    /** Shorter prompts, more and smaller engines, fast model loads. */
    static PolicySite manySmallEngines() {
        List<String> popular = modelNames(0, 6);
        List<String> rare = modelNames(6, 21);
        List<RequestKind.SharedPart> shared =
                List.of(new RequestKind.SharedPart(228, 3), new RequestKind.SharedPart(340, 40));
        List<Set<String>> engines = initialPlacement(
                13,
                List.of(
                        "m0", "m1", "m0", "m1", "m0", "m1", "m0", "m2", "m0", "m2", "m0", "m3", "m0", "m4", "m5", "m6",
                        "m7", "m8", "m9", "m10", "m11", "m12", "m13", "m14", "m15", "m16"));
        return new PolicySite(
                "many-small-engines",
                8,
                1,
                engines,
                definition(21, 1_200, 600, 400, 8, 2.4, 165_614),
                new EngineSpeed(25.8, 8.2, 0.05, 1_024, 0, 2, 140_000, 430_000),
                List.of(
                        new RequestKind(
                                "question",
                                49.7,
                                600,
                                4_000,
                                2_400,
                                200,
                                1.8,
                                0.53,
                                shared,
                                1_100,
                                16,
                                popular,
                                3,
                                0.2,
                                12),
                        new RequestKind(
                                "letter", 6.9, 1_500, 6_000, 6_000, 200, 1.8, 0.53, shared, 1_100, 16, rare, 15, 0, 0),
                        new RequestKind(
                                "dialogue",
                                13.6,
                                500,
                                15_000,
                                2_000,
                                200,
                                2.5,
                                0.74,
                                shared,
                                670,
                                130,
                                popular,
                                3,
                                0.2,
                                12)));
    }

    /**
     * Many large engines before many small entries. A step with a full chunk of a prompt takes so long that an event of
     * a stream misses its limit on pauses if all of its steps read prompts.
     */
    static PolicySite manyLargeEngines() {
        List<String> popular = modelNames(0, 30);
        List<String> rare = modelNames(30, 58);
        List<RequestKind.SharedPart> archive =
                List.of(new RequestKind.SharedPart(2_520, 3), new RequestKind.SharedPart(3_780, 29));
        List<RequestKind.SharedPart> chat =
                List.of(new RequestKind.SharedPart(119, 3), new RequestKind.SharedPart(79, 38));
        // The first places of the engines, then their second ones: the most popular model is on every third engine.
        List<String> places = new ArrayList<>(rare);
        List<String> others = popular.subList(1, 12);
        for (int place = 0; place < LARGE_ENGINES; place++) {
            places.add(others.get(place % others.size()));
        }
        while (places.size() < 2 * LARGE_ENGINES) {
            places.add(popular.getFirst());
        }
        return new PolicySite(
                "many-large-engines",
                64,
                3,
                initialPlacement(LARGE_ENGINES, List.copyOf(places)),
                definition(58, 5_800, 1_200, 630, 8, 8.5, 220_694),
                new EngineSpeed(38.4, 5.23, 0.02, 4_096, 0.647, 5, 130_000, 400_000),
                List.of(
                        new RequestKind(
                                "report", 76, 800, 6_000, 4_800, 600, 2.3, 1.1, archive, 1_750, 40, popular, 12, 0.1,
                                12),
                        new RequestKind(
                                "archive", 10.5, 4_000, 12_000, 12_000, 600, 2.3, 1.1, archive, 1_750, 40, rare, 28, 0,
                                0),
                        new RequestKind(
                                "chat", 97.4, 600, 15_000, 4_800, 600, 0.86, 0.43, chat, 380, 230, popular, 12, 0.5,
                                12)));
    }

    /** Returns the availability zone of the entry or engine with the given number. */
    String zoneOf(int number) {
        return "zone-" + (1 + number % zones);
    }

    FleetBounds bounds() {
        return new FleetBounds(5_000, true, 3_000, 8_000, 0.2, 58, 10_000, 5_000, 5);
    }

    FleetConfiguration configuration() {
        List<Route> routes = kinds.stream().map(PolicySite::route).toList();
        return FleetConfiguration.of(
                1,
                routes,
                List.of(new ServiceDefinition(SERVICE, 300, Optional.of(definition))),
                CallerLimits.defaults(),
                List.of(new Workspace("workspace", Set.of(KEY), OptionalInt.empty(), 0, 0, true, 200)));
    }

    private static Route route(RequestKind kind) {
        return new Route(
                kind.name(),
                "host",
                "/" + kind.name() + "/",
                RouteKind.STREAMING,
                kind.deadlineMillis(),
                kind.objectiveMillis(),
                1,
                MAX_ATTEMPTS,
                false,
                true,
                List.of(new WeightedService(SERVICE, 1)));
    }

    private static EngineDefinition definition(
            int models, long storeMillis, long diskMillis, long memoryMillis, int places, double loads, long cache) {
        Map<String, ModelDefinition> byName = new HashMap<>();
        for (int number = 0; number < models; number++) {
            String name = "m" + number;
            double megabytes = number % SMALL_MODEL_INTERVAL == SMALL_MODEL_INTERVAL - 1 ? 42_700 : 72_700;
            byName.put(name, new ModelDefinition(name, megabytes, storeMillis, diskMillis, memoryMillis, 66));
        }
        return new EngineDefinition(64, cache, 200_000, places, loads, Map.copyOf(byName));
    }

    private static List<String> modelNames(int from, int to) {
        return IntStream.range(from, to).mapToObj(number -> "m" + number).toList();
    }

    private static List<Set<String>> initialPlacement(int engines, List<String> places) {
        List<Set<String>> placement = new ArrayList<>();
        for (int engine = 0; engine < engines; engine++) {
            placement.add(Set.of(places.get(engine), places.get(engine + engines)));
        }
        return List.copyOf(placement);
    }
}
