package org.jackdawbeam.logic.quarantine;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.Stream;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * An engine that was lost while requests waited for their answers.
 *
 * @param survived whether the same start of the engine has answered a later request
 * @param suspects requests that may have caused the loss, by hash of their id
 * @param cleared parts that an engine has answered since, or shortly before
 */
record LostEngine(long atMillis, boolean survived, PMap<Long, SuspectRequest> suspects, PSet<Long> cleared) {
    private static final int MAX_SUSPECTS = 64; // requests that wait at one engine

    static LostEngine at(long atMillis) {
        return new LostEngine(atMillis, false, HashTreePMap.empty(), HashTreePSet.empty());
    }

    LostEngine withSuspect(long request, SuspectRequest suspect) {
        boolean full = suspects.size() >= MAX_SUSPECTS && !suspects.containsKey(request);
        return full ? this : new LostEngine(atMillis, survived, suspects.plus(request, suspect), cleared);
    }

    LostEngine withSurvived() {
        return new LostEngine(atMillis, true, suspects, cleared);
    }

    LostEngine withCleared(Set<Long> parts) {
        return cleared.containsAll(parts) ? this : new LostEngine(atMillis, survived, suspects, cleared.plusAll(parts));
    }

    /** Returns the suspects whose prompt contains the part, none if the part is cleared. */
    Stream<SuspectRequest> suspectsWith(long part) {
        return survived || cleared.contains(part)
                ? Stream.empty()
                : suspects.values().stream().filter(suspect -> suspect.parts().contains(part));
    }

    /** Returns the parts that may have caused the loss. */
    Set<Long> suspectedParts() {
        if (survived) {
            return Set.of();
        }
        Set<Long> parts = new HashSet<>();
        suspects.values().forEach(suspect -> parts.addAll(suspect.parts()));
        parts.removeAll(cleared);
        return parts;
    }

    /** Returns whether a suspect contains all the given parts, so that they explain the loss. */
    boolean isExplainedBy(Set<Long> group) {
        return suspects.values().stream().anyMatch(suspect -> suspect.containsAll(group));
    }

    int countParts() {
        return suspects.values().stream()
                .mapToInt(suspect -> suspect.parts().size())
                .sum();
    }

    boolean hasSuspectWith(Set<Long> parts) {
        return suspects.values().stream()
                .anyMatch(suspect -> suspect.parts().stream().anyMatch(parts::contains));
    }
}
