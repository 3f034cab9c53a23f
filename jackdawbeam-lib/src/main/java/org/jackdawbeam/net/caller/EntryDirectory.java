package org.jackdawbeam.net.caller;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.jackdawbeam.logic.entry.EntryState;
import org.jackdawbeam.logic.membership.Membership;
import org.jackdawbeam.logic.membership.Peer;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.settings.EntryTimings;

/** Ranks the entries that a caller may use: entries in its own availability zone first, then by load. */
final class EntryDirectory {
    private final EntryTimings timings;

    EntryDirectory(EntryTimings timings) {
        this.timings = timings;
    }

    /**
     * Address of an entry in the response.
     *
     * @param url URL for callers
     * @param zone availability zone of the host
     */
    record Address(String url, String zone) {}

    private record Candidate(Member member, int openRequests) {}

    List<Address> rank(EntryState state, Optional<String> callerZone, long nowMillis) {
        Membership membership = state.membership();
        Stream<Candidate> own = state.isServing()
                ? Stream.of(
                        new Candidate(membership.self(), state.requests().byId().size()))
                : Stream.empty();
        Stream<Candidate> others = membership.others().stream()
                .filter(member -> membership.isAlive(member, nowMillis, timings.memberDeadMillis()))
                .flatMap(member -> membership.peer(member).stream())
                .filter(peer -> !peer.report().leaving())
                .map(EntryDirectory::candidate);
        return Stream.concat(own, others)
                .sorted(Comparator.comparing((Candidate candidate) -> !isInZone(callerZone, candidate))
                        .thenComparing(Candidate::openRequests)
                        .thenComparing(candidate -> candidate.member().hostId()))
                .map(candidate -> new Address(
                        candidate.member().callerUrl(), candidate.member().zone()))
                .toList();
    }

    private static Candidate candidate(Peer peer) {
        return new Candidate(peer.member(), peer.report().openRequests());
    }

    private static boolean isInZone(Optional<String> zone, Candidate candidate) {
        return zone.map(candidate.member().zone()::equals).orElse(true);
    }
}
