package org.jackdawbeam.bench.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.jackdawbeam.bench.fleet.FleetSimulation;
import org.jackdawbeam.bench.fleet.SimulatedMember;
import org.jackdawbeam.bench.harness.EventQueue;
import org.jackdawbeam.bench.harness.RequestSize;
import org.jackdawbeam.logic.fleet.FleetEvent;
import org.jackdawbeam.model.fleet.CallerRequest;
import org.jackdawbeam.model.fleet.Feed;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.PromptPart;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.Refusal;

/** Simulates a day of a deployment with the reducers of all entries, without a network or processes. */
final class PolicyRun {
    private static final double WARM_UP_MILLIS = 12_000; // entries and engines start before the first request
    private static final double ENGINE_HEARTBEAT_MILLIS = 1_200;
    private static final double SAMPLE_MILLIS = 500;
    private static final double UNIQUE_TOKENS_SIGMA = 1; // standard deviation of the logarithm
    private static final double OUTPUT_TOKENS_SIGMA = 0.7;
    private static final long MAX_UNIQUE_TOKENS = 40_000;
    private static final long MAX_OUTPUT_TOKENS = 900;
    private static final double POPULARITY_EXPONENT = 0.6; // Zipf exponent: popularity of a model by its rank
    private static final int INITIAL_DISK_COPIES = 5; // initial copies of further models on the disk of each engine

    private final EventQueue queue = new EventQueue();
    private final Random random;
    private final List<Random> arrivals = new ArrayList<>();
    private final PolicySite site;
    private final PolicyDay day;
    private final List<ServingEngine> engines = new ArrayList<>();
    private final PolicyMeasurement measurement;
    private final ServingTargets targets;
    private final FleetSimulation fleet;
    private long lastId;
    private double residentModels;
    private int samples;

    private PolicyRun(PolicySite site, PolicyDay day, long seed) {
        this.random = new Random(seed);
        this.site = site;
        this.day = day;
        this.measurement = new PolicyMeasurement(site.kinds());
        this.targets = new ServingTargets(queue, engines, site.speed().tokensPerEvent(), measurement);
        this.fleet = new FleetSimulation(queue, random, targets, this::onRefused);
        List<String> names =
                site.definition().models().keySet().stream().sorted().toList();
        for (Set<String> models : site.engines()) {
            Set<String> copies = new HashSet<>();
            while (copies.size() < INITIAL_DISK_COPIES) {
                copies.add(names.get(random.nextInt(names.size())));
            }
            engines.add(
                    new ServingEngine(queue, site, "e" + engines.size(), site.zoneOf(engines.size()), models, copies));
        }
        for (int kind = 0; kind < site.kinds().size(); kind++) {
            // A separate source per kind makes arrivals independent of decisions, so that policies can be compared.
            arrivals.add(new Random(seed * 31 + kind));
        }
        for (int entry = 0; entry < site.entries(); entry++) {
            fleet.add("entry-" + entry, site.zoneOf(entry), site.bounds());
        }
    }

    /** Simulates a day. */
    static PolicyResult run(PolicySite site, PolicyDay day, long seed) {
        return new PolicyRun(site, day, seed).perform();
    }

    private PolicyResult perform() {
        fleet.store().write(Feed.CONFIGURATION, new FeedEntry.Configuration(site.configuration()));
        engines.forEach(this::announce);
        queue.every(ENGINE_HEARTBEAT_MILLIS, () -> engines.forEach(this::announce));
        queue.runUntil(WARM_UP_MILLIS);
        for (PolicyDay.Crash crash : day.crashes()) {
            queue.after(crash.atSecond() * 1_000, () -> crash(engines.get(crash.engine()), crash.forSeconds()));
        }
        for (int kind = 0; kind < site.kinds().size(); kind++) {
            scheduleNext(kind);
        }
        queue.every(SAMPLE_MILLIS, this::sample);
        queue.runUntil(WARM_UP_MILLIS + day.seconds() * 1_000);
        return new PolicyResult(
                measurement.byKind(), measurement.sizes(), targets.orders(), residentModels / Math.max(1, samples));
    }

    private void announce(ServingEngine engine) {
        if (engine.isUp()) {
            fleet.store().write(Feed.TARGETS, new FeedEntry.Target(engine.description()));
        }
    }

    private void crash(ServingEngine engine, double seconds) {
        String crashedId = engine.id();
        targets.crash(fleet, engine);
        queue.after(
                3 * ENGINE_HEARTBEAT_MILLIS,
                () -> fleet.store().write(Feed.TARGETS, new FeedEntry.TargetRemoved(crashedId)));
        queue.after(seconds * 1_000, engine::start);
    }

    private void sample() {
        for (ServingEngine engine : engines) {
            residentModels += engine.models();
            samples++;
        }
    }

    private double second() {
        return (queue.nowMillis() - WARM_UP_MILLIS) / 1_000;
    }

    private void scheduleNext(int kind) {
        Random source = arrivals.get(kind);
        double rate = site.kinds().get(kind).requestsPerSecond() * day.rateFactor(kind, second());
        queue.after(-Math.log(1 - source.nextDouble()) / rate * 1_000, () -> {
            arrive(site.kinds().get(kind), source);
            scheduleNext(kind);
        });
    }

    private void arrive(RequestKind kind, Random source) {
        measurement.recordArrival(kind);
        CallerRequest call = call(kind, source);
        long size = RequestSize.of(call.inputTokens(), call.maximumOutputTokens());
        PolicyMeasurement.LogicalRequest request = new PolicyMeasurement.LogicalRequest(kind, size, queue.nowMillis());
        send(call, request, false);
        queue.after(kind.deadlineMillis(), () -> measurement.recordFailure(request));
    }

    private void send(CallerRequest call, PolicyMeasurement.LogicalRequest request, boolean retry) {
        PolicyMeasurement.CallerAttempt attempt = new PolicyMeasurement.CallerAttempt(call, request, retry);
        measurement.recordAttempt(attempt);
        SimulatedMember member =
                fleet.members().get(random.nextInt(fleet.members().size()));
        long number = fleet.request(member, call);
        double left = request.firstSentAtMillis() + request.kind().deadlineMillis() - queue.nowMillis();
        queue.after(Math.min(left, request.kind().firstTokenTimeoutMillis()), () -> {
            if (!attempt.hasFirstToken() && !request.ended()) {
                measurement.recordFailure(request);
                fleet.submit(member, now -> new FleetEvent.CallerLeft(now, number));
            }
        });
    }

    private void onRefused(String id, Refusal refusal) {
        PolicyMeasurement.CallerAttempt attempt = measurement.attempt(id);
        PolicyMeasurement.LogicalRequest request = attempt.request();
        double left = request.firstSentAtMillis() + request.kind().deadlineMillis() - queue.nowMillis();
        boolean willRetry = refusal.ran() == ExecutionStatus.NO
                && refusal.retryAfterMillis().isPresent()
                && !attempt.isRetry();
        if (!willRetry || request.ended()) {
            measurement.recordRefusal(request);
            return;
        }
        double delayMillis = Math.min(refusal.retryAfterMillis().getAsLong(), left / 3);
        CallerRequest call = measurement.call(id);
        queue.after(delayMillis, () -> send(retryOf(call, left - delayMillis), request, true));
    }

    private CallerRequest retryOf(CallerRequest call, double deadlineMillis) {
        return new CallerRequest(
                "r" + lastId++,
                call.host(),
                call.path(),
                call.key(),
                (long) deadlineMillis,
                call.model(),
                call.adapter(),
                call.inputTokens(),
                call.maximumOutputTokens(),
                call.countsTokens(),
                call.prompt(),
                call.fingerprint());
    }

    private CallerRequest call(RequestKind kind, Random source) {
        List<PromptPart> parts = new ArrayList<>();
        int tokens = 0;
        for (RequestKind.SharedPart level : kind.sharedParts()) {
            long id = kind.name().hashCode() * 31L + parts.size() * 1_000L + source.nextInt(level.variants());
            parts.add(new PromptPart(id, level.tokens()));
            tokens += level.tokens();
        }
        int own = (int)
                Math.clamp(lognormal(source, kind.medianUniqueTokens(), UNIQUE_TOKENS_SIGMA), 16, MAX_UNIQUE_TOKENS);
        parts.add(new PromptPart(1_000_000_000L + lastId, own));
        long output = (long)
                Math.clamp(lognormal(source, kind.medianOutputTokens(), OUTPUT_TOKENS_SIGMA), 4, MAX_OUTPUT_TOKENS);
        Optional<String> adapter = source.nextDouble() < kind.adapterShare()
                ? Optional.of("a" + source.nextInt(kind.adaptersPerModel()))
                : Optional.empty();
        return new CallerRequest(
                "r" + lastId++,
                "host",
                "/" + kind.name() + "/x",
                Optional.of(PolicySite.KEY),
                kind.deadlineMillis(),
                Optional.of(model(kind, source)),
                adapter,
                tokens + own,
                output,
                true,
                List.copyOf(parts),
                lastId);
    }

    private double lognormal(Random source, double median, double sigma) {
        return median * Math.exp(source.nextGaussian() * sigma);
    }

    /** Picks a model by popularity rank. During a shift, a growing share of the requests uses the shifted ranks. */
    private String model(RequestKind kind, Random source) {
        double shift = kind.popularModels() < kind.models().size() ? day.shift(second()) : 0;
        int moved = (int) Math.floor(shift) + (source.nextDouble() < shift - Math.floor(shift) ? 1 : 0);
        double total = 0;
        for (int rank = 1; rank <= kind.popularModels(); rank++) {
            total += Math.pow(rank, -POPULARITY_EXPONENT);
        }
        double drawn = source.nextDouble() * total;
        int rank = 0;
        while (rank < kind.popularModels() - 1) {
            drawn -= Math.pow(rank + 1, -POPULARITY_EXPONENT);
            if (drawn <= 0) {
                break;
            }
            rank++;
        }
        return kind.models().get((rank + moved) % kind.models().size());
    }
}
