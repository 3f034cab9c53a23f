package org.jackdawbeam.logic.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jackdawbeam.logic.target.PrefixIndex;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.fleet.TargetLoad;
import org.jackdawbeam.model.request.AttemptId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A target as this entry sees it.
 *
 * @param adapters adapters by model, as the holder of the placement duty says
 * @param unloading models that it is about to drop
 * @param outstanding this entry's requests at the target
 * @param failureShare moving share of failed attempts, 0 to 1
 * @param consecutiveFailures attempts that failed since the latest answer
 * @param avoidedUntilMillis until when other targets are preferred
 * @param prefixes prompt parts that it has probably cached
 * @param load what it said of its load with its latest answer
 * @param residencyAtMillis when the holder of the placement duty last told what it holds; long ago if never
 * @param goneAtMillis when it counts as gone, if its entry in the list has lapsed
 */
public record FleetTarget(
        TargetDescription description,
        Map<String, Set<String>> adapters,
        Set<String> unloading,
        PMap<AttemptId, Outstanding> outstanding,
        double failureShare,
        int consecutiveFailures,
        long avoidedUntilMillis,
        PrefixIndex prefixes,
        Optional<TargetLoad> load,
        long residencyAtMillis,
        OptionalLong goneAtMillis) {
    private static final long NEVER = -1_000_000_000;
    /**
     * Entries of the list that were written before a change are read at most about this much later. What the list says
     * after that goes before what the holder of the placement duty told, a removal that did not happen included.
     */
    private static final long RESIDENCY_TRUST_MILLIS = 3_000;

    private static final double FAILURE_WEIGHT = 0.15; // about the last seven attempts count
    private static final long FIRST_AVOIDANCE_MILLIS = 250; // a restart or a lost connection is over by then
    private static final int MAXIMUM_DOUBLINGS = 3; // 2 s at most, so that a restarted target is found soon

    static FleetTarget of(TargetDescription description) {
        return new FleetTarget(
                description,
                Map.of(),
                Set.of(),
                HashTreePMap.empty(),
                0,
                0,
                0,
                PrefixIndex.empty(),
                Optional.empty(),
                NEVER,
                OptionalLong.empty());
    }

    /** Returns the target with news from the list. A restart under the same id clears what was known of it. */
    FleetTarget described(TargetDescription news, long nowMillis) {
        boolean restarted = news.startedAtMillis() != description.startedAtMillis()
                || !news.address().equals(description.address());
        boolean toldSince = nowMillis - residencyAtMillis < RESIDENCY_TRUST_MILLIS;
        return restarted
                ? of(news)
                : new FleetTarget(
                        toldSince ? news.withModels(description.models()) : news,
                        adapters,
                        toldSince ? unloading : Set.of(),
                        outstanding,
                        failureShare,
                        consecutiveFailures,
                        avoidedUntilMillis,
                        prefixes,
                        load,
                        residencyAtMillis,
                        OptionalLong.empty());
    }

    FleetTarget lapsing(long goneAt) {
        return new FleetTarget(
                description,
                adapters,
                unloading,
                outstanding,
                failureShare,
                consecutiveFailures,
                avoidedUntilMillis,
                prefixes,
                load,
                residencyAtMillis,
                OptionalLong.of(goneAt));
    }

    FleetTarget withAdapters(Map<String, Set<String>> held) {
        return withResidency(description.models(), held, unloading, residencyAtMillis);
    }

    FleetTarget withUnloading(Set<String> leavingModels) {
        return withResidency(description.models(), adapters, leavingModels, residencyAtMillis);
    }

    /** Returns the target with what the holder of the placement duty knows of it. */
    FleetTarget withResidency(
            Set<String> models, Map<String, Set<String>> held, Set<String> leavingModels, long atMillis) {
        return new FleetTarget(
                description.withModels(models),
                held,
                leavingModels,
                outstanding,
                failureShare,
                consecutiveFailures,
                avoidedUntilMillis,
                prefixes,
                load,
                atMillis,
                goneAtMillis);
    }

    boolean holdsTheSameAs(FleetTarget other) {
        return description.models().equals(other.description().models())
                && adapters.equals(other.adapters())
                && unloading.equals(other.unloading());
    }

    FleetTarget withPrefixes(PrefixIndex index) {
        return new FleetTarget(
                description,
                adapters,
                unloading,
                outstanding,
                failureShare,
                consecutiveFailures,
                avoidedUntilMillis,
                index,
                load,
                residencyAtMillis,
                goneAtMillis);
    }

    FleetTarget withLoad(Optional<TargetLoad> stated) {
        return new FleetTarget(
                description,
                adapters,
                unloading,
                outstanding,
                failureShare,
                consecutiveFailures,
                avoidedUntilMillis,
                prefixes,
                stated.isPresent() ? stated : load,
                residencyAtMillis,
                goneAtMillis);
    }

    FleetTarget sent(AttemptId attempt, Outstanding work) {
        return withOutstanding(outstanding.plus(attempt, work));
    }

    FleetTarget begun(AttemptId attempt) {
        Outstanding work = outstanding.get(attempt);
        return work == null ? this : withOutstanding(outstanding.plus(attempt, work.begun()));
    }

    FleetTarget released(AttemptId attempt) {
        return withOutstanding(outstanding.minus(attempt));
    }

    FleetTarget succeeded() {
        return withHealth(failureShare * (1 - FAILURE_WEIGHT), 0, avoidedUntilMillis);
    }

    /** Counts an answer that is a failure; the target is reachable. */
    FleetTarget answeredWithError() {
        return withHealth(failureShare * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT, 0, avoidedUntilMillis);
    }

    /** Counts a failed connection and prefers other targets for a while. */
    FleetTarget unreachable(long nowMillis) {
        long avoidance = FIRST_AVOIDANCE_MILLIS << Math.min(consecutiveFailures, MAXIMUM_DOUBLINGS);
        return withHealth(
                failureShare * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT, consecutiveFailures + 1, nowMillis + avoidance);
    }

    /** Returns the tokens that the target has yet to read for this entry. */
    long unreadTokens() {
        return outstanding.values().stream()
                .filter(work -> !work.answering())
                .mapToLong(Outstanding::unreadTokens)
                .sum();
    }

    boolean holds(String model, Optional<String> adapter) {
        return description.models().contains(model)
                && !unloading.contains(model)
                && (adapter.isEmpty() || adapters.getOrDefault(model, Set.of()).contains(adapter.get()));
    }

    private FleetTarget withOutstanding(PMap<AttemptId, Outstanding> changed) {
        return new FleetTarget(
                description,
                adapters,
                unloading,
                changed,
                failureShare,
                consecutiveFailures,
                avoidedUntilMillis,
                prefixes,
                load,
                residencyAtMillis,
                goneAtMillis);
    }

    private FleetTarget withHealth(double share, int failures, long avoidedUntil) {
        return new FleetTarget(
                description,
                adapters,
                unloading,
                outstanding,
                share,
                failures,
                avoidedUntil,
                prefixes,
                load,
                residencyAtMillis,
                goneAtMillis);
    }
}
