package org.jackdawbeam.logic.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.jackdawbeam.model.fleet.CallerLimits;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.EngineDefinition;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetBounds;
import org.jackdawbeam.model.fleet.FleetConfiguration;
import org.jackdawbeam.model.fleet.FleetMember;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.fleet.ModelDefinition;
import org.jackdawbeam.model.fleet.PromptPart;
import org.jackdawbeam.model.fleet.Route;
import org.jackdawbeam.model.fleet.RouteKind;
import org.jackdawbeam.model.fleet.ServiceDefinition;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.fleet.TargetReport;
import org.jackdawbeam.model.fleet.TargetStatement;
import org.jackdawbeam.model.fleet.WarmUp;
import org.jackdawbeam.model.fleet.WeightedService;
import org.jackdawbeam.model.fleet.Workspace;
import org.jackdawbeam.model.request.AttemptId;

/** A single entry with a manual clock and the effects of its latest event. */
final class FleetFixture {
    static final FleetMember SELF = member("a");
    static final FleetBounds BOUNDS = new FleetBounds(5_000, true, 3_000, 8_000, 0.2, 56, 10_000, 5_000, 5);
    static final String KEY = "key";

    final FleetReducer reducer = new FleetReducer();
    FleetState state;
    long nowMillis = 100_000;
    List<FleetEffect> effects = new ArrayList<>();
    private long lastRequest;

    FleetFixture() {
        this(SELF);
    }

    FleetFixture(FleetMember self) {
        state = FleetState.initial(self, BOUNDS);
    }

    static FleetMember member(String id) {
        return new FleetMember(id, id + "/1", "zone-1", id + ":1", id + ":2", 100);
    }

    /** Returns an entry that has read a configuration and a list of the given targets. */
    static FleetFixture serving(TargetDescription... targets) {
        FleetFixture fixture = new FleetFixture();
        fixture.configure(configuration(1, KEY));
        fixture.listTargets(targets);
        return fixture;
    }

    static FleetConfiguration configuration(long version, String... keys) {
        return configuration(version, 1_000, keys);
    }

    /** Returns a configuration whose workspace never exceeds its rate. */
    static FleetConfiguration generousConfiguration(long version) {
        return configuration(version, 100_000_000, KEY);
    }

    /** Returns a configuration whose services warm up, with a workspace that never exceeds its rate. */
    static FleetConfiguration warmingConfiguration(long version, long coldMillis, double requestsPerSecond) {
        FleetConfiguration known = generousConfiguration(version);
        WarmUp warmUp = new WarmUp(coldMillis, requestsPerSecond);
        return FleetConfiguration.of(
                version,
                known.routesByHost().get("host"),
                known.services().values().stream()
                        .map(service -> new ServiceDefinition(
                                service.name(), service.maximumConnections(), service.engine(), Optional.of(warmUp)))
                        .toList(),
                known.limits(),
                List.copyOf(known.workspaces().values()));
    }

    private static FleetConfiguration configuration(long version, double rate, String... keys) {
        return configuration(version, rate, 70_000, keys);
    }

    /** Returns a configuration with models of the given weight each, on engines of 200,000 MB. */
    static FleetConfiguration configurationWithModels(long version, long megabytes) {
        return configuration(version, 1_000, megabytes, KEY);
    }

    /** Returns a configuration that has a further model. */
    static FleetConfiguration configurationWith(long version, String model) {
        FleetConfiguration known = configuration(version, KEY);
        EngineDefinition engine = known.engine("engines").orElseThrow();
        Map<String, ModelDefinition> models = new HashMap<>(engine.models());
        models.put(model, new ModelDefinition(model, 70_000, 1_200, 600, 400, 60));
        EngineDefinition extended = new EngineDefinition(
                engine.slots(),
                engine.cacheTokens(),
                engine.weightMegabytes(),
                engine.adapterPlaces(),
                engine.loadsPerSecond(),
                Map.copyOf(models));
        return FleetConfiguration.of(
                version,
                known.routesByHost().get("host"),
                List.of(
                        new ServiceDefinition("engines", 300, Optional.of(extended)),
                        new ServiceDefinition("payments", 100, Optional.empty())),
                known.limits(),
                List.copyOf(known.workspaces().values()));
    }

    private static FleetConfiguration configuration(long version, double rate, long megabytes, String... keys) {
        Workspace workspace = new Workspace("w", Set.of(keys), OptionalInt.empty(), rate, rate, true, 200);
        Map<String, ModelDefinition> models = Map.of(
                "m1", new ModelDefinition("m1", megabytes, 1_200, 600, 400, 60),
                "m2", new ModelDefinition("m2", megabytes, 1_200, 600, 400, 60),
                "m3", new ModelDefinition("m3", megabytes, 1_200, 600, 400, 60));
        EngineDefinition engine = new EngineDefinition(64, 160_000, 200_000, 2, 2.4, models);
        return FleetConfiguration.of(
                version,
                List.of(
                        route("chat", RouteKind.STREAMING, false, 1),
                        route("letter", RouteKind.STREAMING, true, 2),
                        route("pay", RouteKind.UNSAFE, false, 1),
                        route("read", RouteKind.SAFE, false, 2),
                        slowRoute("slow", RouteKind.STREAMING, "engines"),
                        slowRoute("endless", RouteKind.UNSAFE, "payments")),
                List.of(
                        new ServiceDefinition("engines", 300, Optional.of(engine)),
                        new ServiceDefinition("payments", 100, Optional.empty())),
                CallerLimits.defaults(),
                List.of(workspace));
    }

    private static Route route(String name, RouteKind kind, boolean resumable, int attempts) {
        String service = kind == RouteKind.STREAMING ? "engines" : "payments";
        return new Route(
                name,
                "host",
                "/" + name + "/",
                kind,
                4_000,
                600,
                1,
                attempts,
                false,
                resumable,
                List.of(new WeightedService(service, 1)));
    }

    /** Returns a route whose requests may take longer than a graceful shutdown. */
    private static Route slowRoute(String name, RouteKind kind, String service) {
        return new Route(
                name,
                "host",
                "/" + name + "/",
                kind,
                60_000,
                5_000,
                1,
                1,
                false,
                false,
                List.of(new WeightedService(service, 1)));
    }

    static FleetBounds boundsWithGrace(long graceMillis) {
        return new FleetBounds(5_000, true, 3_000, graceMillis, 0.2, 56, 10_000, 5_000, 5);
    }

    static FleetBounds boundsWithRevocation(long revokeMillis) {
        return new FleetBounds(revokeMillis, true, 3_000, 8_000, 0.2, 56, 10_000, 5_000, 5);
    }

    static TargetDescription engine(String id, String... models) {
        return new TargetDescription(
                id, "engines", "10.0.0.1:" + id.length(), "zone-1", 64, false, Set.of(models), Set.of(), 7, 0);
    }

    /** Returns the description of a target that started at the given Unix time. */
    static TargetDescription startedAt(long unixMillis, TargetDescription target) {
        return new TargetDescription(
                target.id(),
                target.service(),
                target.address(),
                target.zone(),
                target.slots(),
                target.leaving(),
                target.models(),
                target.atHand(),
                unixMillis,
                target.orderCount());
    }

    static TargetDescription service(String id) {
        return new TargetDescription(
                id, "payments", "10.0.0.2:" + id.length(), "zone-1", 6, false, Set.of(), Set.of(), 7, 0);
    }

    List<FleetEffect> apply(FleetEvent event) {
        Reduction reduction = reducer.apply(state, event);
        state = reduction.state();
        effects = reduction.effects();
        return effects;
    }

    void configure(FleetConfiguration configuration) {
        read(Feed.CONFIGURATION, nowMillis, new FeedEntry.Configuration(configuration));
    }

    /** Returns a request of a peer for an adapter on an engine. */
    static FleetMessage wish(String peer, String model, String adapter, String engine) {
        return new FleetMessage.PlacementWish(peer, "engines", model, Optional.of(adapter), Optional.of(engine));
    }

    void listTargets(TargetDescription... targets) {
        FeedEntry[] entries = new FeedEntry[targets.length];
        for (int index = 0; index < targets.length; index++) {
            entries[index] = new FeedEntry.Target(targets[index]);
        }
        read(Feed.TARGETS, nowMillis, entries);
    }

    void read(Feed feed, long askedAtMillis, FeedEntry... entries) {
        apply(new FleetEvent.FeedRead(nowMillis, feed, askedAtMillis, false, List.of(entries), 1));
    }

    void advance(long millis) {
        nowMillis += millis;
        apply(new FleetEvent.Ticked(nowMillis));
    }

    /** Advances the clock while the store answers reads of the configuration. */
    void advanceWithStoreReads(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            nowMillis += 50;
            read(Feed.CONFIGURATION, nowMillis);
            apply(new FleetEvent.Ticked(nowMillis));
        }
    }

    void receiveHeartbeat(String peer) {
        FleetMember member = member(peer);
        receive(new FleetMessage.Digest(
                peer, member, 0, true, false, Optional.empty(), List.of(), List.of(), Optional.empty()));
    }

    void receive(FleetMessage message) {
        apply(new FleetEvent.PeerReceived(nowMillis, message));
    }

    /** Makes this entry the placement leader with the given fencing token. */
    void acquireLeadership(long token) {
        apply(new FleetEvent.LeadershipRead(nowMillis, 0, List.of(), 0));
        apply(new FleetEvent.Ticked(nowMillis));
        apply(new FleetEvent.LeadershipAppended(nowMillis, nowMillis, new FleetEvent.AppendResult.Appended(token - 1)));
        apply(new FleetEvent.Ticked(nowMillis));
    }

    void renewLeadership() {
        long end = state.leadership().observedEnd().orElseThrow();
        apply(new FleetEvent.LeadershipAppended(nowMillis, nowMillis, new FleetEvent.AppendResult.Appended(end)));
    }

    void report(String target, long orderCount, Set<String> models, Map<String, Set<String>> adapters) {
        report(target, new TargetReport(models, adapters, false, orderCount, 7));
    }

    void report(String target, TargetReport report) {
        apply(new FleetEvent.ReportRead(nowMillis, target, Optional.of(report)));
    }

    long arrive(String route, String key, Optional<String> model, Optional<String> adapter, long tokens) {
        lastRequest++;
        apply(new FleetEvent.RequestArrived(nowMillis, lastRequest, call(route, key, model, adapter, tokens)));
        return lastRequest;
    }

    long chat(String route, String model) {
        return arrive(route, KEY, Optional.of(model), Optional.empty(), 100);
    }

    long call(String route) {
        return arrive(route, KEY, Optional.empty(), Optional.empty(), 0);
    }

    /** Sends a request for model m1 whose prompt has the given parts and one of its own. */
    long prompt(String route, long... sharedParts) {
        return promptEndingWith(-lastRequest - 1, route, sharedParts);
    }

    long promptEndingWith(long lastPart, String route, long... sharedParts) {
        lastRequest++;
        List<PromptPart> parts = new ArrayList<>();
        for (long part : sharedParts) {
            parts.add(new PromptPart(part, 10));
        }
        parts.add(new PromptPart(lastPart, 10));
        CallerRequest plain = call(route, KEY, Optional.of("m1"), Optional.empty(), 100);
        apply(new FleetEvent.RequestArrived(nowMillis, lastRequest, withPrompt(plain, parts)));
        return lastRequest;
    }

    private static CallerRequest withPrompt(CallerRequest call, List<PromptPart> parts) {
        return new CallerRequest(
                call.callerRequestId(),
                call.host(),
                call.path(),
                call.key(),
                call.deadlineMillis(),
                call.model(),
                call.adapter(),
                call.inputTokens(),
                call.maximumOutputTokens(),
                call.countsTokens(),
                parts,
                call.fingerprint());
    }

    private CallerRequest call(
            String route, String key, Optional<String> model, Optional<String> adapter, long tokens) {
        return new CallerRequest(
                "request-" + lastRequest,
                "host",
                "/" + route + "/x",
                Optional.of(key),
                route.equals("slow") || route.equals("endless") ? 60_000 : 4_000,
                model,
                adapter,
                tokens,
                0,
                model.isPresent(),
                List.of(new PromptPart(lastRequest, (int) tokens)),
                lastRequest);
    }

    void answer(AttemptId attempt, int status, boolean notExecuted) {
        apply(new FleetEvent.AttemptAnswered(nowMillis, attempt, status, notExecuted, true, TargetStatement.empty()));
    }

    <T extends FleetEffect> List<T> all(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends FleetEffect> T only(Class<T> type) {
        List<T> found = all(type);
        if (found.size() != 1) {
            throw new AssertionError("expected one " + type.getSimpleName() + " in " + effects);
        }
        return found.getFirst();
    }
}
