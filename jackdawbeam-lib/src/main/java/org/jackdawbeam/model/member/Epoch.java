package org.jackdawbeam.model.member;

import java.util.List;
import java.util.Optional;

/**
 * A membership epoch. Each member holds an equal share of the rate and burst of every workspace.
 *
 * @param number increases by one with each change; the first epoch has number one
 * @param members members in the order in which they joined
 * @param released members of the previous epoch that released their share before leaving
 */
public record Epoch(long number, List<Member> members, List<Member> released) {

    public Epoch {
        members = List.copyOf(members);
        released = List.copyOf(released);
    }

    /** Returns whether the given process run is a member. */
    public boolean contains(Member member) {
        return members.stream().anyMatch(member::sameRun);
    }

    /** Returns whether the given process run left in a planned way when this epoch began. */
    public boolean hasReleased(Member member) {
        return released.stream().anyMatch(member::sameRun);
    }

    /** Returns the member that runs on the given host. */
    public Optional<Member> onHost(String hostId) {
        return members.stream().filter(member -> member.hostId().equals(hostId)).findFirst();
    }

    /** Returns the share of each member, between zero and one. */
    public double share() {
        return members.isEmpty() ? 0 : 1.0 / members.size();
    }

    /** Returns the number of members that form a majority. */
    public int majority() {
        return members.size() / 2 + 1;
    }
}
