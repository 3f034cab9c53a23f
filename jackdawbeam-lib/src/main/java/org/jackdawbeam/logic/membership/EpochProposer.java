package org.jackdawbeam.logic.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jackdawbeam.model.member.Epoch;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.settings.EntryTimings;

/** Decides when this entry proposes a membership change. The log order arbitrates between competing proposals. */
public final class EpochProposer {

    private EpochProposer() {}

    /** Returns an epoch that adds this run, replacing earlier runs of the same host; empty if it is a member. */
    public static Optional<Epoch> join(Membership membership) {
        if (membership.isMember()) {
            return Optional.empty();
        }
        Member self = membership.self();
        List<Member> members = new ArrayList<>();
        membership.epoch().map(Epoch::members).orElse(List.of()).stream()
                .filter(member -> !member.hostId().equals(self.hostId()))
                .forEach(members::add);
        members.add(self);
        return Optional.of(new Epoch(membership.epochNumber() + 1, members, List.of()));
    }

    /** Returns an epoch that removes and releases this run; empty if it is not a member. */
    public static Optional<Epoch> leave(Membership membership) {
        if (!membership.isMember()) {
            return Optional.empty();
        }
        List<Member> members = membership.others();
        return Optional.of(new Epoch(membership.epochNumber() + 1, members, List.of(membership.self())));
    }

    /**
     * Returns an epoch without the members that have not been heard from for too long. Only the first live member
     * proposes it, and only if a majority is alive, so that a partitioned minority changes nothing.
     */
    public static Optional<Epoch> excludeSilent(Membership membership, long nowMillis, EntryTimings timings) {
        Optional<Epoch> epoch = membership.epoch();
        if (epoch.isEmpty() || !membership.isMember()) {
            return Optional.empty();
        }
        List<Member> alive = aliveMembers(membership, epoch.get(), nowMillis, timings);
        boolean allAlive = alive.size() == epoch.get().members().size();
        boolean minority = alive.size() < epoch.get().majority();
        if (allAlive || minority || !alive.getFirst().sameRun(membership.self())) {
            return Optional.empty();
        }
        return Optional.of(new Epoch(epoch.get().number() + 1, alive, List.of()));
    }

    /** Returns an epoch without the members that an operator has declared to be switched off. */
    public static Optional<Epoch> excludeForgotten(Membership membership, List<Member> forgotten) {
        Optional<Epoch> epoch = membership.epoch();
        if (epoch.isEmpty() || !membership.isMember()) {
            return Optional.empty();
        }
        List<Member> kept = epoch.get().members().stream()
                .filter(member -> forgotten.stream().noneMatch(member::sameRun))
                .toList();
        boolean unchanged = kept.size() == epoch.get().members().size();
        if (unchanged || !kept.getFirst().sameRun(membership.self())) {
            return Optional.empty();
        }
        return Optional.of(new Epoch(epoch.get().number() + 1, kept, List.of()));
    }

    /** Returns whether this entry should append its latest settled epoch to the log, as the first live member. */
    public static boolean shouldRecordSettlement(
            Membership membership, long loggedSettled, long nowMillis, EntryTimings timings) {
        Optional<Epoch> epoch = membership.epoch();
        if (epoch.isEmpty() || !membership.isMember()) {
            return false;
        }
        List<Member> alive = aliveMembers(membership, epoch.get(), nowMillis, timings);
        boolean first = alive.getFirst().sameRun(membership.self());
        return first && membership.settledEpoch() > loggedSettled;
    }

    private static List<Member> aliveMembers(Membership membership, Epoch epoch, long nowMillis, EntryTimings timings) {
        return epoch.members().stream()
                .filter(member -> membership.isAlive(member, nowMillis, timings.memberDeadMillis()))
                .toList();
    }
}
