package org.jackdawbeam.logic.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Decides which groups of prompt parts, or which requests, have crashed engines.
 *
 * <p>A part is guilty if engines were lost one after the other under different requests with it, and no engine has
 * answered it since. Losses count one after the other if the later request was sent after the earlier loss: engines
 * that end together, as in an outage, count once. Parts that were always lost together cannot be told apart; they form
 * a group that affects only requests with all of them.
 *
 * <p>For requests, the only part is the fingerprint of the whole request, and each of several engines that were lost
 * together counts.
 */
final class QuarantineRule {
    private static final int REQUIRED_LOSSES = 3; // two engines in a row are lost by chance while others crash

    private QuarantineRule() {}

    /** Returns a group that explains losses which no known group explains. */
    static Optional<Set<Long>> findGroup(
            QuarantinePolicy policy, Collection<LostEngine> losses, Collection<Set<Long>> knownGroups) {
        List<LostEngine> unexplained = losses.stream()
                .filter(loss -> knownGroups.stream().noneMatch(loss::isExplainedBy))
                .sorted(Comparator.comparingLong(LostEngine::atMillis))
                .toList();
        return findNarrowedGroup(unexplained, knownGroups).or(() -> findNewGroup(policy, unexplained));
    }

    /** Returns how many engines were lost under requests with the part, one after the other if the policy says so. */
    static int countLosses(QuarantinePolicy policy, Stream<LostEngine> losses, long part) {
        List<LostEngine> ordered =
                losses.sorted(Comparator.comparingLong(LostEngine::atMillis)).toList();
        int count = 0;
        long latestLossMillis = Long.MIN_VALUE;
        for (LostEngine loss : ordered) {
            long earliest = policy.successiveLosses() ? latestLossMillis : Long.MIN_VALUE;
            if (loss.suspectsWith(part).anyMatch(suspect -> suspect.sentAtMillis() >= earliest)) {
                count++;
                latestLossMillis = loss.atMillis();
            }
        }
        return count;
    }

    /** Returns the part of a known group that was lost without the rest of the group, if there is one. */
    private static Optional<Set<Long>> findNarrowedGroup(
            List<LostEngine> unexplained, Collection<Set<Long>> knownGroups) {
        for (Set<Long> group : knownGroups) {
            for (long part : group) {
                Optional<Set<Long>> narrowed = unexplained.stream()
                        .flatMap(loss -> loss.suspectsWith(part))
                        .map(suspect -> intersection(group, suspect.parts()))
                        .findFirst();
                if (narrowed.isPresent()) {
                    return narrowed;
                }
            }
        }
        return Optional.empty();
    }

    private static Optional<Set<Long>> findNewGroup(QuarantinePolicy policy, List<LostEngine> unexplained) {
        Map<Long, Integer> lossesByPart = new TreeMap<>();
        unexplained.forEach(loss -> loss.suspectedParts().forEach(part -> lossesByPart.merge(part, 1, Integer::sum)));
        int highest = REQUIRED_LOSSES - 1;
        Optional<Set<Long>> found = Optional.empty();
        for (Map.Entry<Long, Integer> candidate : lossesByPart.entrySet()) {
            if (candidate.getValue() <= highest) {
                continue;
            }
            long part = candidate.getKey();
            int count = countLosses(policy, unexplained.stream(), part);
            if (count > highest && countRequests(unexplained, part) >= policy.requiredRequests()) {
                highest = count;
                found = Optional.of(companions(unexplained, part));
            }
        }
        return found;
    }

    private static long countRequests(List<LostEngine> losses, long part) {
        return losses.stream()
                .filter(loss -> loss.suspectsWith(part).findAny().isPresent())
                .flatMap(loss -> loss.suspects().entrySet().stream())
                .filter(suspect -> suspect.getValue().parts().contains(part))
                .map(suspect -> suspect.getKey())
                .distinct()
                .count();
    }

    /** Returns the part with all parts that were suspected whenever it was. */
    private static Set<Long> companions(List<LostEngine> losses, long part) {
        return losses.stream()
                .flatMap(loss -> loss.suspectsWith(part).map(suspect -> uncleared(suspect, loss)))
                .reduce(QuarantineRule::intersection)
                .orElse(Set.of(part));
    }

    private static Set<Long> uncleared(SuspectRequest suspect, LostEngine loss) {
        Set<Long> parts = new TreeSet<>(suspect.parts());
        parts.removeAll(loss.cleared());
        return parts;
    }

    private static Set<Long> intersection(Set<Long> group, Collection<Long> parts) {
        Set<Long> common = new TreeSet<>(group);
        common.retainAll(parts);
        return common;
    }
}
