package org.jackdawbeam.bench.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.bench.harness.FakeEngine;
import org.jackdawbeam.bench.harness.Fleet;
import org.jackdawbeam.bench.harness.Network;
import org.jackdawbeam.bench.harness.Node;
import org.jackdawbeam.model.bundle.Bundle;

/** Runs the reducers of a whole deployment against emulated engines under one scenario. */
public final class DecisionRun {
    private static final double WARM_UP_MILLIS = 45_000;
    private static final double MEASURED_MILLIS = 60_000;
    private static final double DRAIN_MILLIS = 15_000;
    private static final double MODEL_LOAD_MILLIS = 700;
    private static final double REQUESTS_PER_ENGINE = 6;
    private static final double HOT_FACTOR = 1.15;
    private static final double MEAN_COST_TOKENS = 770;
    private static final double RATE_HEADROOM = 1.6;
    private static final double NOISE_FACTOR = 5;
    private static final double REACHABLE_CHECK_MILLIS = 100;
    private static final int NOISY_WORKSPACE = 1;

    private final Site site;
    private final Scenario scenario;
    private final Variant variant;
    private final EventQueue queue = new EventQueue();
    private final Random random;
    private final Workload workload;
    private final Measurement measurement;
    private final Fleet fleet;
    private final Bundle bundle;
    private final double requestsPerSecond;
    private final Map<String, Double> missingSince = new HashMap<>();
    private double longestMissing;
    private long nextRequest = 1;
    private long movesBefore;

    private DecisionRun(Site site, Scenario scenario, Variant variant, long seed) {
        this.site = site;
        this.scenario = scenario;
        this.variant = variant;
        this.random = new Random(seed);
        this.workload = new Workload(site, seed + 1);
        this.measurement = new Measurement(
                queue,
                WARM_UP_MILLIS,
                WARM_UP_MILLIS + MEASURED_MILLIS,
                scenario == Scenario.NOISY_WORKSPACE ? OptionalInt.of(NOISY_WORKSPACE) : OptionalInt.empty());
        Network network = new Network(new Random(seed + 2), site.linkMillis(), 0.3, 0, 0, 0, 0);
        this.fleet = new Fleet(queue, network, variant.options(), measurement);
        this.requestsPerSecond =
                site.engines() * REQUESTS_PER_ENGINE * (scenario == Scenario.HOT_AFTERNOON ? HOT_FACTOR : 1);
        this.bundle = site.bundle(requestsPerSecond * MEAN_COST_TOKENS * RATE_HEADROOM);
    }

    /** Performs a run. */
    public static DecisionResult run(Site site, Scenario scenario, Variant variant, long seed) {
        return new DecisionRun(site, scenario, variant, seed).perform();
    }

    private DecisionResult perform() {
        fleet.addTargets(bundle, MODEL_LOAD_MILLIS);
        if (variant.allModelsResident()) {
            fleet.engines().values().forEach(this::preload);
        }
        for (int number = 0; number < site.entries(); number++) {
            fleet.addNode("entry-" + number, Site.zone(number));
        }
        queue.after(500, () -> fleet.submitOperatorRequest(fleet.nodes().getFirst(), fleet.roll(bundle, 0, "first")));
        for (int workspace = 0; workspace < site.weights().size(); workspace++) {
            toggleBursts(workspace);
            scheduleArrival(workspace);
        }
        queue.runUntil(WARM_UP_MILLIS);
        movesBefore = moves();
        queue.every(REACHABLE_CHECK_MILLIS, this::checkReachable);
        queue.after(MEASURED_MILLIS / 3, this::causeFault);
        queue.runUntil(WARM_UP_MILLIS + MEASURED_MILLIS + DRAIN_MILLIS);
        return result();
    }

    private void preload(FakeEngine engine) {
        bundle.models().forEach(model -> engine.preload(model.name(), model.bytes()));
        bundle.adapters().forEach(adapter -> engine.preloadAdapter(adapter.name(), adapter.bytes()));
    }

    private void toggleBursts(int workspace) {
        queue.after(workload.toggleBurst(workspace), () -> toggleBursts(workspace));
    }

    private void scheduleArrival(int workspace) {
        double perSecond = requestsPerSecond * site.weights().get(workspace);
        boolean noisy = scenario == Scenario.NOISY_WORKSPACE
                && workspace == NOISY_WORKSPACE
                && queue.nowMillis() > WARM_UP_MILLIS + MEASURED_MILLIS / 3;
        double factor = noisy ? NOISE_FACTOR * RATE_HEADROOM : 1;
        queue.after(workload.nextArrivalMillis(workspace, perSecond * factor), () -> {
            if (queue.nowMillis() < WARM_UP_MILLIS + MEASURED_MILLIS) {
                send(workspace);
                scheduleArrival(workspace);
            }
        });
    }

    private void send(int workspace) {
        List<Node> up = fleet.nodes().stream().filter(Node::isUp).toList();
        Node node = up.get(random.nextInt(up.size()));
        Workload.DrawnRequest draw = workload.draw(workspace);
        long id = nextRequest++;
        measurement.sent(
                node,
                id,
                workspace,
                bundle,
                (double) draw.call().promptTokens() + draw.call().maximumTokens());
        fleet.request(
                node,
                id,
                Fleet.requestTemplate(site.credential(workspace), draw.call()),
                draw.call().maximumTokens());
    }

    private void causeFault() {
        List<FakeEngine> engines = List.copyOf(fleet.engines().values());
        switch (scenario) {
            case CALM, NOISY_WORKSPACE -> {
                // No fault is injected into the deployment.
            }
            case TENFOLD -> workload.moveDemand();
            case HOT_AFTERNOON -> engines.stream().limit(engines.size() / 3).forEach(FakeEngine::kill);
            case ENGINE_DEAD -> {
                engines.get(2).kill();
                queue.after(10_000, engines.get(2)::restart);
            }
            case ENGINE_SLOW -> engines.get(2).setSlowdown(4);
            case ENGINE_SILENT -> engines.get(2).setSilent(true);
            case ZONE_LOST -> {
                engines.stream()
                        .filter(engine -> engine.specification().zone().equals("b"))
                        .forEach(FakeEngine::kill);
                fleet.nodes().stream().filter(node -> node.zone().equals("b")).forEach(this::kill);
            }
            case LOG_OUT -> fleet.log().setUnavailable(true);
            case ENTRY_KILLED -> kill(fleet.nodes().get(3));
        }
    }

    private void kill(Node node) {
        measurement.lost(node);
        node.kill();
    }

    private void checkReachable() {
        if (queue.nowMillis() > WARM_UP_MILLIS + MEASURED_MILLIS) {
            return;
        }
        bundle.models().forEach(model -> {
            boolean resident = fleet.engines().values().stream().anyMatch(engine -> engine.holds(model.name()));
            if (resident) {
                missingSince.remove(model.name());
                return;
            }
            double since = missingSince.computeIfAbsent(model.name(), name -> queue.nowMillis());
            longestMissing = Math.max(longestMissing, queue.nowMillis() - since);
        });
    }

    private long moves() {
        return fleet.engines().values().stream()
                .mapToLong(FakeEngine::modelLoads)
                .sum();
    }

    private DecisionResult result() {
        double withinRate = sum(tally -> tally.withinRate);
        double attained = sum(tally -> tally.attained);
        double worst = measurement.countsByWorkspace().values().stream()
                .filter(tally -> tally.withinRate > 0)
                .mapToDouble(tally -> (double) tally.attained / tally.withinRate)
                .min()
                .orElse(0);
        long events = fleet.nodes().stream().mapToLong(Node::events).sum();
        return new DecisionResult(
                attained / withinRate,
                attained / site.engines() / (MEASURED_MILLIS / 1_000),
                worst,
                sum(tally -> tally.refusedOverRate) / withinRate,
                sum(tally -> tally.refusedOtherwise) / withinRate,
                measurement.firstTokenPercentile(50),
                measurement.firstTokenPercentile(95),
                measurement.gapPercentile(95),
                moves() - movesBefore,
                longestMissing,
                (double) events / nextRequest,
                Map.copyOf(measurement.refusals()));
    }

    private double sum(ToDoubleFunction<Measurement.WorkspaceCounts> value) {
        return measurement.countsByWorkspace().values().stream()
                .mapToDouble(value)
                .sum();
    }
}
