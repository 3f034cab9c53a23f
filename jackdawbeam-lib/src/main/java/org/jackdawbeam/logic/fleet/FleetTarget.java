package org.jackdawbeam.logic.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.jackdawbeam.logic.rate.ColdTime;
import org.jackdawbeam.logic.rate.RequestLimit;
import org.jackdawbeam.logic.target.PrefixIndex;
import org.jackdawbeam.model.fleet.TargetDescription;
import org.jackdawbeam.model.fleet.TargetLoad;
import org.jackdawbeam.model.fleet.TargetStatement;
import org.jackdawbeam.model.request.AttemptId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A target as known to this entry.
 *
 * @param adapters adapters by model, as announced by the placement leader
 * @param unloading models that it is about to unload
 * @param outstanding this entry's attempts at the target that have not ended
 * @param health recent failures and pauses
 * @param prefixes prompt prefixes that it has probably cached
 * @param load load that it stated with its latest answer
 * @param announcedLeaving whether it has stated with an answer, to this entry or another, that it is about to leave
 * @param limit limit on the requests of all entries, while the target states one
 * @param cold time in which the target is taken to be cold
 * @param residencyAtMillis when the placement leader last announced its models; far in the past if never
 * @param goneAtMillis time from which it is considered gone, if its entry in the list has expired
 */
public record FleetTarget(
        TargetDescription description,
        Map<String, Set<String>> adapters,
        Set<String> unloading,
        PMap<AttemptId, OutstandingAttempt> outstanding,
        TargetHealth health,
        PrefixIndex prefixes,
        Optional<TargetLoad> load,
        boolean announcedLeaving,
        Optional<RequestLimit> limit,
        Optional<ColdTime> cold,
        long residencyAtMillis,
        OptionalLong goneAtMillis) {
    private static final long NEVER = -1_000_000_000;
    /**
     * How long an announcement of the placement leader takes precedence over the list, which may lag behind a change by
     * about this much. Afterwards the list applies again, also where an announced unload did not happen.
     */
    private static final long RESIDENCY_PRECEDENCE_MILLIS = 3_000;

    static FleetTarget of(TargetDescription description) {
        return new FleetTarget(
                description,
                Map.of(),
                Set.of(),
                HashTreePMap.empty(),
                TargetHealth.unknown(),
                PrefixIndex.empty(),
                Optional.empty(),
                false,
                Optional.empty(),
                Optional.empty(),
                NEVER,
                OptionalLong.empty());
    }

    /** Returns the target with its latest description from the list. A restart under the same id resets its state. */
    FleetTarget withDescription(TargetDescription latest, long nowMillis) {
        boolean restarted = latest.startedAtMillis() != description.startedAtMillis()
                || !latest.address().equals(description.address());
        if (restarted) {
            return of(latest);
        }
        boolean recentlyAnnounced = nowMillis - residencyAtMillis < RESIDENCY_PRECEDENCE_MILLIS;
        return changed(builder -> {
            builder.description = recentlyAnnounced ? latest.withModels(description.models()) : latest;
            builder.unloading = recentlyAnnounced ? unloading : Set.of();
            builder.goneAtMillis = OptionalLong.empty();
        });
    }

    FleetTarget withGoneAt(long goneAt) {
        return changed(builder -> builder.goneAtMillis = OptionalLong.of(goneAt));
    }

    FleetTarget withAdapters(Map<String, Set<String>> heldAdapters) {
        return changed(builder -> builder.adapters = heldAdapters);
    }

    FleetTarget withUnloading(Set<String> unloadingModels) {
        return changed(builder -> builder.unloading = unloadingModels);
    }

    /** Returns the target with the models and adapters that the placement leader has announced. */
    FleetTarget withResidency(
            Set<String> models, Map<String, Set<String>> heldAdapters, Set<String> unloadingModels, long atMillis) {
        return changed(builder -> {
            builder.description = description.withModels(models);
            builder.adapters = heldAdapters;
            builder.unloading = unloadingModels;
            builder.residencyAtMillis = atMillis;
        });
    }

    boolean hasSameResidency(FleetTarget other) {
        return description.models().equals(other.description().models())
                && adapters.equals(other.adapters())
                && unloading.equals(other.unloading());
    }

    FleetTarget withPrefixes(PrefixIndex index) {
        return changed(builder -> builder.prefixes = index);
    }

    /** Returns the target with what it has stated about itself in an answer. */
    FleetTarget withStatement(TargetStatement statement, long nowMillis) {
        return changed(builder -> {
            builder.load = statement.load().or(() -> load);
            builder.announcedLeaving = announcedLeaving || statement.leaving();
            builder.health = statement.retryDelayMillis().isPresent()
                    ? health.withPauseUntil(
                            nowMillis + statement.retryDelayMillis().getAsLong())
                    : health;
        });
    }

    FleetTarget withLeavingAnnounced() {
        return changed(builder -> builder.announcedLeaving = true);
    }

    FleetTarget withLimit(Optional<RequestLimit> stated) {
        return changed(builder -> builder.limit = stated);
    }

    FleetTarget withCold(Optional<ColdTime> changed) {
        return changed(builder -> builder.cold = changed);
    }

    /** Returns whether the target is about to leave, by the list or by its own statement, whichever came first. */
    boolean isLeaving() {
        return announcedLeaving || description.leaving();
    }

    /** Returns whether the target has asked this entry to send no requests for now. */
    boolean isPaused(long nowMillis) {
        return nowMillis < health.pausedUntilMillis();
    }

    /** Returns whether the target must receive no orders: it is paused, or limits its requests because of its load. */
    boolean declinesOrders(long nowMillis) {
        return isPaused(nowMillis) || limit.isPresent();
    }

    FleetTarget withAttempt(AttemptId attempt, OutstandingAttempt outstandingAttempt) {
        return withOutstanding(outstanding.plus(attempt, outstandingAttempt));
    }

    FleetTarget withAnswerBegun(AttemptId attempt) {
        return withChanged(attempt, OutstandingAttempt::withAnswerBegun);
    }

    FleetTarget withFirstByte(AttemptId attempt, long nowMillis) {
        return withChanged(attempt, outstandingAttempt -> outstandingAttempt.withFirstByte(nowMillis));
    }

    private FleetTarget withChanged(AttemptId attempt, UnaryOperator<OutstandingAttempt> change) {
        OutstandingAttempt known = outstanding.get(attempt);
        return known == null ? this : withOutstanding(outstanding.plus(attempt, change.apply(known)));
    }

    FleetTarget withoutAttempt(AttemptId attempt) {
        return withOutstanding(outstanding.minus(attempt));
    }

    FleetTarget succeeded() {
        return withHealth(health.succeeded());
    }

    FleetTarget answeredWithError() {
        return withHealth(health.answeredWithError());
    }

    FleetTarget unreachable(long nowMillis) {
        return withHealth(health.unreachable(nowMillis));
    }

    /** Returns the prompt tokens that the target has yet to process for this entry's requests at normal priority. */
    long pendingPrefillTokens() {
        return pendingPrefillTokens(false);
    }

    /** Returns the prompt tokens that the target has yet to process for this entry's late requests. */
    long latePendingPrefillTokens() {
        return pendingPrefillTokens(true);
    }

    private long pendingPrefillTokens(boolean late) {
        return outstanding.values().stream()
                .filter(attempt -> !attempt.answering() && attempt.late() == late)
                .mapToLong(OutstandingAttempt::prefillTokens)
                .sum();
    }

    boolean holds(String model, Optional<String> adapter) {
        return description.models().contains(model)
                && !unloading.contains(model)
                && (adapter.isEmpty() || adapters.getOrDefault(model, Set.of()).contains(adapter.get()));
    }

    private FleetTarget withOutstanding(PMap<AttemptId, OutstandingAttempt> changed) {
        return changed(builder -> builder.outstanding = changed);
    }

    private FleetTarget withHealth(TargetHealth changed) {
        return changed(builder -> builder.health = changed);
    }

    private FleetTarget changed(Consumer<Builder> change) {
        Builder builder = new Builder(this);
        change.accept(builder);
        return builder.build();
    }

    /** Mutable components of a target, used to build a changed copy. */
    private static final class Builder {
        private TargetDescription description;
        private Map<String, Set<String>> adapters;
        private Set<String> unloading;
        private PMap<AttemptId, OutstandingAttempt> outstanding;
        private TargetHealth health;
        private PrefixIndex prefixes;
        private Optional<TargetLoad> load;
        private boolean announcedLeaving;
        private Optional<RequestLimit> limit;
        private Optional<ColdTime> cold;
        private long residencyAtMillis;
        private OptionalLong goneAtMillis;

        Builder(FleetTarget source) {
            description = source.description;
            adapters = source.adapters;
            unloading = source.unloading;
            outstanding = source.outstanding;
            health = source.health;
            prefixes = source.prefixes;
            load = source.load;
            announcedLeaving = source.announcedLeaving;
            limit = source.limit;
            cold = source.cold;
            residencyAtMillis = source.residencyAtMillis;
            goneAtMillis = source.goneAtMillis;
        }

        FleetTarget build() {
            return new FleetTarget(
                    description,
                    adapters,
                    unloading,
                    outstanding,
                    health,
                    prefixes,
                    load,
                    announcedLeaving,
                    limit,
                    cold,
                    residencyAtMillis,
                    goneAtMillis);
        }
    }
}
