package org.jackdawbeam.logic.routing;

import org.jackdawbeam.logic.target.TargetState;
import org.jackdawbeam.model.target.EngineLoad;

/**
 * Estimated time to first token of a request at one target.
 *
 * @param millis estimated time to first token, in milliseconds
 * @param prefillTokens estimated prompt tokens that are not in the prefix cache
 */
public record FirstTokenEstimate(double millis, double prefillTokens) {
    private static final double BASE_MILLIS = 12;
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.05;
    private static final double REPORTED_REQUEST_MILLIS = 2;
    private static final double OWN_REQUEST_MILLIS = 20;
    private static final double OTHER_ZONE_MILLIS = 3;
    private static final double ADAPTER_LOAD_MILLIS = 30;

    /** Returns the estimate for the given target. */
    public static FirstTokenEstimate of(
            RoutingPolicy.EstimatedFirstToken policy,
            TargetState target,
            RoutingInput work,
            String ownZone,
            long nowMillis) {
        double uncached = uncachedTokens(policy, target, work);
        double queued = target.load().map(EngineLoad::queuedTokens).orElse(0L) + target.tokensSinceReport();
        int reported = target.load()
                .map(load -> load.runningRequests() + load.queuedRequests())
                .orElse(0);
        int own = target.outstanding().size();
        double millis = BASE_MILLIS
                + PREFILL_MILLIS_PER_TOKEN * (queued + uncached)
                + REPORTED_REQUEST_MILLIS * reported
                + OWN_REQUEST_MILLIS * own
                + zoneMillis(target, ownZone)
                + adapterMillis(target, work);
        double delivered = policy.usesObservedLatency() ? corrected(millis, target, nowMillis) : millis;
        return new FirstTokenEstimate(delivered, uncached);
    }

    private static double uncachedTokens(
            RoutingPolicy.EstimatedFirstToken policy, TargetState target, RoutingInput work) {
        boolean unused = !policy.usesPrefixes() || work.prefixHashes().isEmpty();
        if (unused) {
            return work.promptTokens();
        }
        int cached = target.prefixes().matchingBlocks(work.prefixHashes());
        double cachedPart = (double) cached / work.prefixHashes().size();
        return work.promptTokens() * (1 - cachedPart);
    }

    private static double corrected(double millis, TargetState target, long nowMillis) {
        return millis * target.latencyRatio() + Math.max(0, target.overdueMillis(nowMillis));
    }

    private static double zoneMillis(TargetState target, String ownZone) {
        return target.specification().zone().equals(ownZone) ? 0 : OTHER_ZONE_MILLIS;
    }

    private static double adapterMillis(TargetState target, RoutingInput work) {
        boolean missing = work.adapter().isPresent()
                && !target.holdsAdapter(work.adapter().get());
        return missing ? ADAPTER_LOAD_MILLIS : 0;
    }
}
