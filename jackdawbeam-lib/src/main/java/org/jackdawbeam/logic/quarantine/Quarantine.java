package org.jackdawbeam.logic.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.jackdawbeam.model.fleet.QuarantineReport;
import org.jackdawbeam.model.fleet.QuarantineReport.EngineLoss;
import org.jackdawbeam.model.fleet.QuarantineReport.QuarantinedParts;
import org.jackdawbeam.model.fleet.QuarantineReport.Suspect;
import org.jackdawbeam.model.fleet.QuarantineScope;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Prompt parts that may crash engines: the evidence, and the groups of parts that are quarantined. Immutable. In the
 * quarantine of requests, the fingerprint of a request stands for its only part.
 *
 * @param scope what the parts stand for
 * @param losses recent losses of engines under requests that waited for their answers
 * @param touchedAtMillis when a loss last changed
 * @param entries quarantined and recently released groups, by their part ids
 * @param answeredAtMillis when an engine last began to answer a part, for parts that were answered recently
 */
public record Quarantine(
        QuarantineScope scope,
        PMap<Incarnation, LostEngine> losses,
        PMap<Incarnation, Long> touchedAtMillis,
        PMap<Set<Long>, QuarantineEntry> entries,
        PMap<Long, Long> answeredAtMillis) {
    private static final long LOSS_RETENTION_MILLIS = 300_000;
    private static final long RELEASE_RETENTION_MILLIS = 600_000;
    private static final int MAX_LOSSES = 64; // callers can cause any number of them
    private static final int MAX_ENTRIES = 64;
    private static final int MAX_PARTS_OF_A_PROMPT = 64;
    private static final int MAX_REPORTED_PARTS = 1_000; // about ten kilobytes of a heartbeat
    private static final int MAX_ANSWERED_PARTS = 4_096;
    /** Age up to which a loss belongs to the evidence on which another entry has just quarantined its parts. */
    private static final long RELATED_LOSS_MILLIS = 10_000;
    /** How often a change is repeated in heartbeats, in case one is lost. */
    private static final long REPEAT_MILLIS = 2_000;

    /** Returns a quarantine without evidence. */
    public static Quarantine empty(QuarantineScope scope) {
        return new Quarantine(
                scope, HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());
    }

    private QuarantinePolicy policy() {
        return QuarantinePolicy.of(scope);
    }

    /** Records that a request lost its engine before the first byte of its answer. */
    public Quarantine withLoss(Incarnation engine, long request, long sentAtMillis, List<Long> parts, long nowMillis) {
        LostEngine known = losses.getOrDefault(engine, LostEngine.at(nowMillis));
        List<Long> suspected = parts.stream().limit(MAX_PARTS_OF_A_PROMPT).toList();
        LostEngine changed = known.withSuspect(request, new SuspectRequest(sentAtMillis, suspected))
                .withCleared(answeredSince(parts, known.atMillis() - policy().clearanceMillis()));
        return with(engine, changed, nowMillis);
    }

    /** Records that an engine has begun to answer a prompt with the given parts: none of them crashes engines. */
    public Quarantine withAnswer(Incarnation engine, long sentAtMillis, List<Long> parts, long nowMillis) {
        Quarantine next = withSurvivor(engine, sentAtMillis, nowMillis)
                .withCleared(new HashSet<>(parts), nowMillis)
                .withAnswered(parts, nowMillis);
        for (Set<Long> group : activeGroups()) {
            next = parts.stream().anyMatch(group::contains) ? next.withoutParts(group, parts, nowMillis) : next;
        }
        return next;
    }

    /** Adds a group that was quarantined before this entry started; its next trial is not due sooner than usual. */
    public Quarantine withStored(Set<Long> group, int trials, long nowMillis) {
        QuarantineEntry stored = QuarantineEntry.quarantined(policy(), trials, nowMillis);
        QuarantineEntry known = entries.get(group);
        boolean news = !group.isEmpty() && (known == null || stored.isNewerThan(known));
        return news ? with(group, stored) : this;
    }

    /** Releases a group, whatever the evidence. */
    public Quarantine withReleased(Set<Long> group, long nowMillis) {
        QuarantineEntry entry = entries.get(group);
        return entry == null ? this : withCleared(group, nowMillis).with(group, entry.release(nowMillis));
    }

    /** Marks one request as the trial of a group; the next trial is due later. */
    public Quarantine withTrial(Set<Long> group, long request, long nowMillis) {
        return with(group, entries.get(group).withTrial(policy(), request, nowMillis));
    }

    /** Returns the quarantine after merging what another entry knows. */
    public Quarantine merge(QuarantineReport report, long nowMillis) {
        Quarantine next = this;
        for (EngineLoss loss : report.losses()) {
            next = loss.ageMillis() < LOSS_RETENTION_MILLIS ? next.merge(loss, nowMillis) : next;
        }
        for (QuarantinedParts parts : report.quarantined()) {
            next = next.merge(parts, nowMillis);
        }
        return next;
    }

    /** Returns the quarantine with the groups that the evidence now requires. */
    public Quarantine withNewGroups(long nowMillis) {
        Quarantine next = this;
        Optional<Set<Long>> found = QuarantineRule.findGroup(policy(), next.losses.values(), next.activeGroups());
        for (int added = 0; found.isPresent() && added < MAX_ENTRIES; added++) {
            next = next.withQuarantined(found.get(), 0, nowMillis);
            found = QuarantineRule.findGroup(policy(), next.losses.values(), next.activeGroups());
        }
        return next;
    }

    /** Returns the quarantine without evidence that is too old. */
    public Quarantine expire(long nowMillis) {
        Quarantine next = this;
        for (Map.Entry<Incarnation, LostEngine> loss : losses.entrySet()) {
            boolean old = nowMillis - loss.getValue().atMillis() >= LOSS_RETENTION_MILLIS;
            next = old ? next.without(loss.getKey()) : next;
        }
        for (Map.Entry<Set<Long>, QuarantineEntry> entry : entries.entrySet()) {
            boolean old = entry.getValue().released()
                    && nowMillis - entry.getValue().changedAtMillis() >= RELEASE_RETENTION_MILLIS;
            next = old ? next.withEntries(next.entries.minus(entry.getKey())) : next;
        }
        return next;
    }

    /** Returns the quarantined groups that a prompt contains. */
    public List<Set<Long>> findGroups(List<Long> parts) {
        if (entries.isEmpty()) {
            return List.of();
        }
        Set<Long> contained = new HashSet<>(parts);
        return activeGroups().stream().filter(contained::containsAll).toList();
    }

    /** Returns the ids of the engines that were lost under requests with all the parts. */
    public List<String> enginesLostWith(Set<Long> group) {
        return losses.entrySet().stream()
                .filter(loss -> loss.getValue().isExplainedBy(group))
                .map(loss -> loss.getKey().target())
                .sorted()
                .toList();
    }

    /** Returns how many engines were lost one after the other under the most suspicious of the parts. */
    public int countLosses(List<Long> parts) {
        return parts.stream()
                .mapToInt(part -> QuarantineRule.countLosses(policy(), losses.values().stream(), part))
                .max()
                .orElse(0);
    }

    /** Returns the groups that are quarantined now. */
    public List<Set<Long>> activeGroups() {
        return entries.entrySet().stream()
                .filter(entry -> !entry.getValue().released())
                .map(Map.Entry::getKey)
                .sorted(Comparator.comparing(Set::toString))
                .toList();
    }

    /** Marks everything as changed, so that the next heartbeats tell a new entry. */
    public Quarantine touch(long nowMillis) {
        Quarantine next = this;
        for (Map.Entry<Set<Long>, QuarantineEntry> entry : entries.entrySet()) {
            next = next.with(entry.getKey(), entry.getValue().withChangedAt(nowMillis));
        }
        return next;
    }

    /**
     * Returns what to tell the other entries.
     *
     * @param all whether to tell everything that is not yet explained by a quarantined group, not only recent changes
     */
    public QuarantineReport report(boolean all, long nowMillis) {
        if (losses.isEmpty() && entries.isEmpty()) {
            return QuarantineReport.empty();
        }
        long earliest = all ? Long.MIN_VALUE : nowMillis - REPEAT_MILLIS;
        List<Set<Long>> groups = activeGroups();
        List<EngineLoss> lost = new ArrayList<>();
        int room = MAX_REPORTED_PARTS;
        for (Map.Entry<Incarnation, LostEngine> loss : newestFirst()) {
            boolean open = groups.stream().noneMatch(loss.getValue()::isExplainedBy);
            if (open && touchedAtMillis.getOrDefault(loss.getKey(), Long.MIN_VALUE) >= earliest) {
                lost.add(toReport(loss.getKey(), loss.getValue(), nowMillis));
                room -= loss.getValue().countParts();
            }
            if (room <= 0) {
                break;
            }
        }
        List<QuarantinedParts> quarantined = entries.entrySet().stream()
                .filter(entry -> entry.getValue().changedAtMillis() >= earliest)
                .map(entry -> new QuarantinedParts(
                        scope,
                        List.copyOf(new TreeSet<>(entry.getKey())),
                        entry.getValue().trials(),
                        entry.getValue().released(),
                        entry.getValue().nextTrialAtMillis() - nowMillis))
                .toList();
        return new QuarantineReport(List.copyOf(lost), quarantined, Optional.empty());
    }

    private List<Map.Entry<Incarnation, LostEngine>> newestFirst() {
        return losses.entrySet().stream()
                .sorted(Comparator.comparingLong(loss -> -loss.getValue().atMillis()))
                .toList();
    }

    private static EngineLoss toReport(Incarnation engine, LostEngine loss, long nowMillis) {
        List<Suspect> suspects = loss.suspects().entrySet().stream()
                .filter(suspect ->
                        !loss.cleared().containsAll(suspect.getValue().parts()))
                .map(suspect -> new Suspect(
                        suspect.getKey(),
                        loss.atMillis() - suspect.getValue().sentAtMillis(),
                        suspect.getValue().parts()))
                .toList();
        return new EngineLoss(
                engine.target(),
                engine.startedAtMillis(),
                nowMillis - loss.atMillis(),
                loss.survived(),
                suspects,
                Set.copyOf(loss.cleared()));
    }

    private Quarantine merge(EngineLoss told, long nowMillis) {
        Incarnation engine = new Incarnation(told.target(), told.startedAtMillis());
        long atMillis = nowMillis - told.ageMillis();
        LostEngine known = losses.getOrDefault(engine, LostEngine.at(atMillis));
        LostEngine merged = (told.survived() ? known.withSurvived() : known).withCleared(told.cleared());
        for (Suspect suspect : told.suspects()) {
            if (!merged.suspects().containsKey(suspect.request())) {
                merged = merged.withSuspect(
                        suspect.request(), new SuspectRequest(atMillis - suspect.waitedMillis(), suspect.parts()));
            }
            merged = merged.withCleared(answeredSince(suspect.parts(), known.atMillis() - policy().clearanceMillis()));
        }
        return merged.equals(losses.get(engine)) ? this : with(engine, merged, nowMillis);
    }

    private Quarantine merge(QuarantinedParts told, long nowMillis) {
        QuarantineEntry heard = new QuarantineEntry(
                told.trials(), told.released(), nowMillis, nowMillis + told.trialInMillis(), OptionalLong.empty());
        Set<Long> group = Set.copyOf(told.parts());
        QuarantineEntry known = entries.get(group);
        boolean news = !group.isEmpty() && (known == null || heard.isNewerThan(known));
        if (!news) {
            return this;
        }
        Quarantine next = with(group, heard);
        Set<Long> answered = heard.released() ? Set.of() : answeredSinceLosses(group, nowMillis);
        return answered.isEmpty()
                ? next
                : next.withCleared(answered, nowMillis).withoutParts(group, answered, nowMillis);
    }

    /** Returns the parts of a group that this entry has seen answered since the losses that the group explains. */
    private Set<Long> answeredSinceLosses(Set<Long> group, long nowMillis) {
        OptionalLong firstLossAtMillis = losses.values().stream()
                .filter(loss -> loss.isExplainedBy(group))
                .mapToLong(LostEngine::atMillis)
                .filter(atMillis -> nowMillis - atMillis < RELATED_LOSS_MILLIS)
                .min();
        return firstLossAtMillis.isPresent() ? answeredSince(group, firstLossAtMillis.getAsLong()) : Set.of();
    }

    private Quarantine withSurvivor(Incarnation engine, long sentAtMillis, long nowMillis) {
        LostEngine loss = losses.get(engine);
        boolean survived = loss != null && !loss.survived() && sentAtMillis >= loss.atMillis();
        return survived ? with(engine, loss.withSurvived(), nowMillis) : this;
    }

    private Quarantine withCleared(Set<Long> parts, long nowMillis) {
        Quarantine next = this;
        for (Map.Entry<Incarnation, LostEngine> loss : losses.entrySet()) {
            LostEngine cleared = loss.getValue().hasSuspectWith(parts)
                    ? loss.getValue().withCleared(suspectedParts(loss.getValue(), parts))
                    : loss.getValue();
            next = cleared == loss.getValue() ? next : next.with(loss.getKey(), cleared, nowMillis);
        }
        return next;
    }

    private static Set<Long> suspectedParts(LostEngine loss, Set<Long> parts) {
        return loss.suspects().values().stream()
                .flatMap(suspect -> suspect.parts().stream())
                .filter(parts::contains)
                .collect(Collectors.toSet());
    }

    private Quarantine withAnswered(List<Long> parts, long nowMillis) {
        PMap<Long, Long> answered = answeredAtMillis;
        if (answered.size() >= MAX_ANSWERED_PARTS) {
            Map<Long, Long> recent = answered.entrySet().stream()
                    .filter(part -> nowMillis - part.getValue() < policy().clearanceMillis())
                    .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
            answered = HashTreePMap.from(recent.size() < MAX_ANSWERED_PARTS ? recent : Map.of());
        }
        for (long part : parts) {
            answered = answered.plus(part, nowMillis);
        }
        return new Quarantine(scope, losses, touchedAtMillis, entries, answered);
    }

    private Set<Long> answeredSince(Collection<Long> parts, long sinceMillis) {
        return parts.stream()
                .filter(part -> answeredAtMillis.getOrDefault(part, Long.MIN_VALUE) >= sinceMillis)
                .collect(Collectors.toSet());
    }

    /** Replaces a group by the part of it that has not been answered. */
    private Quarantine withoutParts(Set<Long> group, Collection<Long> answered, long nowMillis) {
        QuarantineEntry entry = entries.get(group);
        Set<Long> rest = new HashSet<>(group);
        answered.forEach(rest::remove);
        Quarantine released = with(group, entry.release(nowMillis));
        return rest.isEmpty() ? released : released.withQuarantined(Set.copyOf(rest), entry.trials(), nowMillis);
    }

    private Quarantine withQuarantined(Set<Long> group, int trials, long nowMillis) {
        Set<Long> key = Set.copyOf(group);
        QuarantineEntry known = entries.get(key);
        if (known != null && !known.released()) {
            return this;
        }
        int next = known == null ? trials : Math.max(trials, known.trials() + 1);
        return with(key, QuarantineEntry.quarantined(policy(), next, nowMillis));
    }

    private Quarantine with(Set<Long> group, QuarantineEntry entry) {
        PMap<Set<Long>, QuarantineEntry> room = entries;
        if (room.size() >= MAX_ENTRIES && !room.containsKey(group)) {
            Set<Long> oldest = room.entrySet().stream()
                    .min(Comparator.comparing((Map.Entry<Set<Long>, QuarantineEntry> known) ->
                                    !known.getValue().released())
                            .thenComparing(known -> known.getValue().changedAtMillis()))
                    .orElseThrow()
                    .getKey();
            room = room.minus(oldest);
        }
        return withEntries(room.plus(group, entry));
    }

    private Quarantine with(Incarnation engine, LostEngine loss, long nowMillis) {
        Quarantine room = this;
        if (losses.size() >= MAX_LOSSES && !losses.containsKey(engine)) {
            Incarnation oldest = losses.entrySet().stream()
                    .min(Comparator.comparingLong(known -> known.getValue().atMillis()))
                    .orElseThrow()
                    .getKey();
            room = without(oldest);
        }
        return new Quarantine(
                scope,
                room.losses.plus(engine, loss),
                room.touchedAtMillis.plus(engine, nowMillis),
                entries,
                answeredAtMillis);
    }

    private Quarantine without(Incarnation engine) {
        return new Quarantine(scope, losses.minus(engine), touchedAtMillis.minus(engine), entries, answeredAtMillis);
    }

    private Quarantine withEntries(PMap<Set<Long>, QuarantineEntry> changed) {
        return new Quarantine(scope, losses, touchedAtMillis, changed, answeredAtMillis);
    }
}
