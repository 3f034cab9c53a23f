package org.jackdawbeam.logic.target;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.bundle.TargetKind;
import org.jackdawbeam.model.bundle.TargetSpecification;
import org.jackdawbeam.model.request.AttemptId;
import org.jackdawbeam.model.target.EngineLoad;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * State of one target as known to this entry: its last report, attempts in flight and observed performance.
 *
 * @param specification specification of the target in the bundle
 * @param load latest load report; empty for services and unresponsive engines
 * @param loadRequestedAtMillis time of the request for the latest load report
 * @param outstanding attempts in flight
 * @param concurrencyLimit maximum number of requests at the target before this entry stops dispatching to it
 * @param latencyRatio smoothed ratio of the observed to the estimated time to first token
 * @param consecutiveFailures failures since the last success
 * @param suspendedUntilMillis time until which no new requests are dispatched after failures
 * @param leaving whether the target is listed as leaving
 * @param prefixes approximate contents of the prefix cache
 */
public record TargetState(
        TargetSpecification specification,
        Optional<EngineLoad> load,
        long loadRequestedAtMillis,
        PMap<AttemptId, OutstandingAttempt> outstanding,
        double concurrencyLimit,
        double latencyRatio,
        int consecutiveFailures,
        long suspendedUntilMillis,
        boolean leaving,
        PrefixIndex prefixes) {
    /** Time between two tokens above which the gap counts as slow, in milliseconds. */
    public static final double SLOW_GAP_MILLIS = 30;

    private static final double INITIAL_CONCURRENCY = 24;
    private static final double MINIMUM_CONCURRENCY = 4;
    private static final double MAXIMUM_CONCURRENCY = 128;
    private static final double CONCURRENCY_DECREASE = 0.97;
    private static final double CONCURRENCY_INCREASE = 0.25;
    private static final double SLOW_GAPS_ALLOWED = 0.05;
    private static final double SLOW_GAPS_FOR_INCREASE = 0.02;
    private static final int SERVICE_CONCURRENCY = 128;
    private static final double SMOOTHING = 0.2;
    private static final double MAXIMUM_LATENCY_RATIO = 20;
    private static final int FAILURES_BEFORE_SUSPENSION = 2;
    private static final long SUSPENSION_MILLIS = 1_000;
    private static final long MAXIMUM_SUSPENSION_MILLIS = 8_000;

    /** Returns the initial state of a target. */
    public static TargetState unknown(TargetSpecification specification) {
        return new TargetState(
                specification,
                Optional.empty(),
                0,
                HashTreePMap.empty(),
                INITIAL_CONCURRENCY,
                1,
                0,
                Long.MIN_VALUE,
                false,
                PrefixIndex.empty());
    }

    /** Returns the name of the target. */
    public String name() {
        return specification.name();
    }

    /** Returns whether new requests may be dispatched now. */
    public boolean accepts(long nowMillis) {
        return !isLeaving() && nowMillis >= suspendedUntilMillis;
    }

    /**
     * Returns whether the target is below its concurrency limit.
     *
     * @param members number of entries that send work to the target
     */
    public boolean hasRoom(int members) {
        if (specification.kind() == TargetKind.SERVICE) {
            return outstanding.size() < SERVICE_CONCURRENCY;
        }
        return outstanding.isEmpty() || concurrency(members) < concurrencyLimit;
    }

    /**
     * Returns the estimated number of requests at the target: those in the latest report plus those sent since. Every
     * entry is assumed to have sent as many as this one.
     */
    public double concurrency(int members) {
        long sentSince = outstanding.values().stream()
                .filter(attempt -> attempt.sentAtMillis() >= loadRequestedAtMillis)
                .count();
        int reported = load.map(report -> report.runningRequests() + report.queuedRequests())
                .orElse(0);
        return Math.max(outstanding.size(), reported + sentSince * (double) members);
    }

    /** Returns whether the target accepts no new requests because it is about to stop. */
    public boolean isLeaving() {
        return leaving || load.map(EngineLoad::leaving).orElse(false);
    }

    /** Returns whether the latest load report came from the given engine process. */
    public boolean runsAs(String engineRun) {
        return load.map(report -> report.engineRun().equals(engineRun)).orElse(false);
    }

    /** Returns whether the engine reported the model as resident. */
    public boolean holdsModel(String model) {
        return load.map(report -> report.models().contains(model)).orElse(false);
    }

    /** Returns whether the engine reported the adapter as resident. */
    public boolean holdsAdapter(String adapter) {
        return load.map(report -> report.adapters().contains(adapter)).orElse(false);
    }

    /** Returns the prefill tokens sent since the latest report was requested, which it may not include. */
    public double tokensSinceReport() {
        return outstanding.values().stream()
                .filter(attempt -> !attempt.answering() && attempt.sentAtMillis() >= loadRequestedAtMillis)
                .mapToDouble(OutstandingAttempt::prefillTokens)
                .sum();
    }

    /** Returns the longest delay of a first token beyond its estimate, in milliseconds; negative if none is overdue. */
    public double overdueMillis(long nowMillis) {
        return outstanding.values().stream()
                .filter(attempt -> !attempt.answering())
                .mapToDouble(attempt -> nowMillis - attempt.sentAtMillis() - attempt.estimateMillis())
                .max()
                .orElse(0);
    }

    /** Returns the state with a new specification of the target; a new address resets the state. */
    public TargetState withSpecification(TargetSpecification other) {
        boolean moved = !other.address().equals(specification.address());
        return moved ? unknown(other) : copy(other, load, loadRequestedAtMillis, outstanding, leaving, prefixes);
    }

    /** Records a load report. */
    public TargetState reported(EngineLoad report, long askedAtMillis) {
        boolean restarted = load.isPresent() && !load.get().engineRun().equals(report.engineRun());
        PrefixIndex known = restarted ? PrefixIndex.empty() : prefixes;
        return copy(specification, Optional.of(report), askedAtMillis, outstanding, leaving, known);
    }

    /** Records that the engine no longer answers load requests. */
    public TargetState withoutLoadReport() {
        return copy(specification, Optional.empty(), loadRequestedAtMillis, outstanding, leaving, prefixes);
    }

    /** Records whether the host list shows the target as leaving. */
    public TargetState withLeaving(boolean nowLeaving) {
        return copy(specification, load, loadRequestedAtMillis, outstanding, nowLeaving, prefixes);
    }

    /** Records the contents of the prefix cache as announced by the engine. */
    public TargetState withPrefixes(PrefixIndex index) {
        return copy(specification, load, loadRequestedAtMillis, outstanding, leaving, index);
    }

    /** Records the dispatch of an attempt. */
    public TargetState dispatched(AttemptId attempt, OutstandingAttempt work, List<Long> prefixHashes) {
        PrefixIndex seen = prefixes.withSeen(prefixHashes, work.sentAtMillis());
        return copy(specification, load, loadRequestedAtMillis, outstanding.plus(attempt, work), leaving, seen);
    }

    /** Records the first token of an attempt and updates the latency ratio. */
    public TargetState answered(AttemptId attempt, long nowMillis) {
        OutstandingAttempt work = outstanding.get(attempt);
        if (work == null) {
            return this;
        }
        double observed = nowMillis - work.sentAtMillis();
        double ratio =
                Math.clamp(observed / Math.max(1, work.estimateMillis() / latencyRatio), 0.2, MAXIMUM_LATENCY_RATIO);
        double smoothed = latencyRatio + SMOOTHING * (ratio - latencyRatio);
        return new TargetState(
                specification,
                load,
                loadRequestedAtMillis,
                outstanding.plus(attempt, work.withAnswering()),
                concurrencyLimit,
                smoothed,
                0,
                Long.MIN_VALUE,
                leaving,
                prefixes);
    }

    /**
     * Records the successful end of an attempt and adapts the concurrency limit to the gaps between its tokens.
     *
     * @param slowGapShare fraction of slow gaps between its tokens; negative if unknown
     * @param members number of entries that send work to the target
     */
    public TargetState completed(AttemptId attempt, double slowGapShare, int members) {
        boolean limitReached = concurrency(members) + 1 >= concurrencyLimit;
        return new TargetState(
                specification,
                load,
                loadRequestedAtMillis,
                outstanding.minus(attempt),
                adaptedLimit(slowGapShare, limitReached),
                latencyRatio,
                0,
                Long.MIN_VALUE,
                leaving,
                prefixes);
    }

    /** Records the failure of an attempt; repeated failures suspend the target with exponential backoff. */
    public TargetState failed(AttemptId attempt, long nowMillis) {
        int failures = consecutiveFailures + 1;
        long until = suspendedUntilMillis;
        if (failures >= FAILURES_BEFORE_SUSPENSION) {
            int doublings = Math.min(failures - FAILURES_BEFORE_SUSPENSION, 3);
            until = nowMillis + Math.min(MAXIMUM_SUSPENSION_MILLIS, SUSPENSION_MILLIS << doublings);
        }
        return new TargetState(
                specification,
                load,
                loadRequestedAtMillis,
                outstanding.minus(attempt),
                concurrencyLimit,
                latencyRatio,
                failures,
                until,
                leaving,
                prefixes);
    }

    /** Records the end of an attempt that gives no information about the health of the target. */
    public TargetState released(AttemptId attempt) {
        return copy(specification, load, loadRequestedAtMillis, outstanding.minus(attempt), leaving, prefixes);
    }

    private double adaptedLimit(double slowGapShare, boolean limitReached) {
        if (slowGapShare > SLOW_GAPS_ALLOWED) {
            return Math.max(MINIMUM_CONCURRENCY, concurrencyLimit * CONCURRENCY_DECREASE);
        }
        boolean mayGrow = limitReached && slowGapShare < SLOW_GAPS_FOR_INCREASE;
        return mayGrow ? Math.min(MAXIMUM_CONCURRENCY, concurrencyLimit + CONCURRENCY_INCREASE) : concurrencyLimit;
    }

    private TargetState copy(
            TargetSpecification newSpecification,
            Optional<EngineLoad> newLoad,
            long newLoadAskedAt,
            PMap<AttemptId, OutstandingAttempt> newOutstanding,
            boolean newLeaving,
            PrefixIndex newPrefixes) {
        return new TargetState(
                newSpecification,
                newLoad,
                newLoadAskedAt,
                newOutstanding,
                concurrencyLimit,
                latencyRatio,
                consecutiveFailures,
                suspendedUntilMillis,
                newLeaving,
                newPrefixes);
    }
}
