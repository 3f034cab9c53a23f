package org.jackdawbeam.logic.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jackdawbeam.logic.target.TargetState;

/** Chooses a target among candidates. The choice depends only on the arguments; the request id seeds random choices. */
public final class Router {
    private static final RoutingPolicy.EstimatedFirstToken DEFAULT_ESTIMATE =
            new RoutingPolicy.EstimatedFirstToken(true, true);
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private Router() {}

    /** Returns the chosen target, or empty if there are no candidates. The order of the candidates must be stable. */
    public static Optional<TargetChoice> choose(
            RoutingPolicy policy, List<TargetState> candidates, RoutingInput work, String ownZone, long nowMillis) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int count = candidates.size();
        long random = mix(work.requestId());
        TargetState chosen = switch (policy) {
            case RoutingPolicy.Random any -> candidates.get((int) Math.floorMod(random, (long) count));
            case RoutingPolicy.RoundRobin turn -> candidates.get((int) Math.floorMod(work.requestId(), (long) count));
            case RoutingPolicy.LeastOutstanding least -> leastOutstanding(candidates);
            case RoutingPolicy.TwoChoices two -> betterOfTwo(candidates, random);
            case RoutingPolicy.EstimatedFirstToken estimated ->
                smallestEstimate(estimated, candidates, work, ownZone, nowMillis);
        };
        return Optional.of(new TargetChoice(chosen, estimate(policy, chosen, work, ownZone, nowMillis)));
    }

    private static FirstTokenEstimate estimate(
            RoutingPolicy policy, TargetState target, RoutingInput work, String ownZone, long nowMillis) {
        RoutingPolicy.EstimatedFirstToken estimated =
                policy instanceof RoutingPolicy.EstimatedFirstToken own ? own : DEFAULT_ESTIMATE;
        return FirstTokenEstimate.of(estimated, target, work, ownZone, nowMillis);
    }

    private static TargetState leastOutstanding(List<TargetState> candidates) {
        return candidates.stream()
                .min(Comparator.comparingInt(target -> target.outstanding().size()))
                .orElseThrow();
    }

    private static TargetState betterOfTwo(List<TargetState> candidates, long random) {
        long count = candidates.size();
        TargetState first = candidates.get((int) Math.floorMod(random, count));
        TargetState second = candidates.get((int) Math.floorMod(mix(random), count));
        return first.outstanding().size() <= second.outstanding().size() ? first : second;
    }

    private static TargetState smallestEstimate(
            RoutingPolicy.EstimatedFirstToken policy,
            List<TargetState> candidates,
            RoutingInput work,
            String ownZone,
            long nowMillis) {
        TargetState best = candidates.getFirst();
        double bestMillis = Double.MAX_VALUE;
        for (TargetState candidate : candidates) {
            double millis = FirstTokenEstimate.of(policy, candidate, work, ownZone, nowMillis)
                    .millis();
            if (millis < bestMillis) {
                best = candidate;
                bestMillis = millis;
            }
        }
        return best;
    }

    /** Hashes a number with the SplitMix64 mixing function, so that consecutive ids give well distributed values. */
    static long mix(long value) {
        long mixed = (value + 1) * GOLDEN_GAMMA;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
