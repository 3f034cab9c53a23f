package org.jackdawbeam.logic.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.jackdawbeam.model.member.Epoch;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.peer.PeerMessage.Report;
import org.jackdawbeam.model.settings.EntryTimings;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The membership as known to one entry: unsettled epochs, peers and the lease.
 *
 * <p>A member may use its share if, within the lease duration, it either read the log to its head and found no later
 * epoch, or a majority of its epoch confirmed that it knows none. A share or duty revoked from a member may be used by
 * others only after the member has acknowledged the revoking epoch or all its leases have expired; see decision 0003.
 *
 * @param self this run
 * @param epochs epochs from the settled one to the current one, in order
 * @param revocations unsettled revocations by these epochs
 * @param peers the other entries by host id
 * @param logContactMillis send time of the last log read that reached the head, so that this entry knows every epoch
 *     appended before that time
 * @param settledEpoch number of the latest epoch whose revocations are known to be settled
 */
public record Membership(
        Member self,
        PVector<Epoch> epochs,
        PVector<Revocation> revocations,
        PMap<String, Peer> peers,
        long logContactMillis,
        long settledEpoch) {
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    /** Returns the membership of a run that knows no epoch yet. */
    public static Membership starting(Member self) {
        return new Membership(self, TreePVector.empty(), TreePVector.empty(), HashTreePMap.empty(), NEVER_MILLIS, 0);
    }

    /** Returns the current epoch as far as this entry knows. */
    public Optional<Epoch> epoch() {
        return epochs.isEmpty() ? Optional.empty() : Optional.of(epochs.get(epochs.size() - 1));
    }

    /** Returns the number of the current epoch, or zero if there is none. */
    public long epochNumber() {
        return epoch().map(Epoch::number).orElse(0L);
    }

    /** Returns whether this run is a member of the current epoch. */
    public boolean isMember() {
        return epoch().map(epoch -> epoch.contains(self)).orElse(false);
    }

    /** Returns whether this entry holds a lease and may use its share and duties. */
    public boolean holdsLease(long nowMillis, EntryTimings timings) {
        return isMember() && nowMillis < leaseEndMillis(timings);
    }

    /** Returns when the lease expires unless it is renewed. */
    public long leaseEndMillis(EntryTimings timings) {
        return Math.max(logContactMillis, majorityContactMillis()) + timings.leaseMillis();
    }

    /** Returns the fraction of the rate and burst of every workspace that this entry may use, between 0 and 1. */
    public double usableShare() {
        double share = 1;
        for (Epoch epoch : epochs) {
            share = Math.min(share, epoch.contains(self) ? epoch.share() : 0);
        }
        return epochs.isEmpty() ? 0 : share;
    }

    /** Returns whether this entry holds the placement duty: it is the first member of all epochs and holds a lease. */
    public boolean holdsPlacementDuty(long nowMillis, EntryTimings timings) {
        boolean firstThroughout = !epochs.isEmpty()
                && epochs.stream()
                        .allMatch(epoch -> !epoch.members().isEmpty()
                                && epoch.members().getFirst().sameRun(self));
        return firstThroughout && holdsLease(nowMillis, timings);
    }

    /** Returns how many members joined before this run; the number of members if this run is not a member. */
    public int rank() {
        List<Member> members = epoch().map(Epoch::members).orElse(List.of());
        return (int) members.stream().takeWhile(member -> !member.sameRun(self)).count();
    }

    /** Returns the members of the current epoch other than this run. */
    public List<Member> others() {
        return epoch().stream()
                .flatMap(epoch -> epoch.members().stream())
                .filter(member -> !member.sameRun(self))
                .toList();
    }

    /** Returns the number of entries that send work to targets, including this one. */
    public int entryCount() {
        return others().size() + 1;
    }

    /** Returns the peer state of the given run; empty if a different run of its host is known. */
    public Optional<Peer> peer(Member member) {
        return Optional.ofNullable(peers.get(member.hostId()))
                .filter(peer -> peer.member().sameRun(member));
    }

    /** Applies the epochs and the settled epoch that were folded from the log. */
    public Membership withEpochs(
            List<Epoch> loggedEpochs,
            long loggedSettled,
            List<Member> forgotten,
            long nowMillis,
            EntryTimings timings) {
        Membership next = this;
        for (Epoch epoch : loggedEpochs) {
            next = next.withEpoch(epoch, loggedSettled, nowMillis);
        }
        return next.withSettled(loggedSettled).settle(nowMillis, timings, forgotten);
    }

    /** Records that a log read sent at the given time reached the head of the log. */
    public Membership withLogContact(long askedAtMillis) {
        long latest = Math.max(logContactMillis, askedAtMillis);
        return new Membership(self, epochs, revocations, peers, latest, settledEpoch);
    }

    /** Records a report received from a peer. Reports of earlier incarnations are ignored. */
    public Membership withReport(Member member, Report report, long nowMillis) {
        Peer known = peers.get(member.hostId());
        if (known != null && known.member().incarnation() > member.incarnation()) {
            return this;
        }
        boolean sameRun = known != null && known.member().sameRun(member);
        long confirmed = sameRun ? known.acknowledgedHeartbeatMillis() : NEVER_MILLIS;
        Peer peer = new Peer(member, report, nowMillis, confirmed);
        return withPeer(peer).withSettled(report.settledEpoch());
    }

    /** Records the answer of a peer to the heartbeat that was sent at the given time. */
    public Membership withHeartbeatAnswer(Member member, Report report, long askedAtMillis, long nowMillis) {
        Membership next = withReport(member, report, nowMillis);
        Peer peer = next.peers.get(member.hostId());
        if (!peer.member().sameRun(member) || report.knownEpoch() > epochNumber()) {
            return next;
        }
        long latest = Math.max(peer.acknowledgedHeartbeatMillis(), askedAtMillis);
        return next.withPeer(new Peer(peer.member(), peer.report(), peer.lastMessageMillis(), latest));
    }

    /** Updates the reported balance of a workspace at a peer. */
    public Membership withBalance(Member member, String workspace, double balance, long nowMillis) {
        return peer(member)
                .map(peer -> withPeer(new Peer(
                        member,
                        peer.report().withBalance(workspace, balance),
                        nowMillis,
                        peer.acknowledgedHeartbeatMillis())))
                .orElse(this);
    }

    /** Removes revocations that are settled by now, and the epochs that are no longer needed. */
    public Membership settle(long nowMillis, EntryTimings timings, List<Member> forgotten) {
        long waitMillis = timings.leaseMillis() + timings.driftMillis();
        PVector<Revocation> open = TreePVector.empty();
        for (Revocation revocation : revocations) {
            Revocation updated = withMajorityObserved(revocation, forgotten, nowMillis);
            if (!isSettled(updated, forgotten, nowMillis, waitMillis)) {
                open = open.plus(updated);
            }
        }
        long settled = open.stream().mapToLong(Revocation::revokedByEpoch).min().orElse(epochNumber() + 1) - 1;
        return new Membership(self, epochs, open, peers, logContactMillis, settledEpoch)
                .withSettled(Math.max(settled, settledEpoch));
    }

    /** Returns the membership of this host with its next incarnation, which is a new run. */
    public Membership withNextIncarnation() {
        Member next =
                new Member(self.hostId(), self.incarnation() + 1, self.zone(), self.callerUrl(), self.peerAddress());
        return new Membership(next, epochs, revocations, peers, logContactMillis, settledEpoch);
    }

    /** Returns whether a message of the member arrived, or the member became known, within the given time. */
    public boolean isAlive(Member member, long nowMillis, long silenceMillis) {
        if (member.sameRun(self)) {
            return true;
        }
        return peer(member)
                .map(peer -> peer.lastMessageMillis() + silenceMillis > nowMillis)
                .orElse(false);
    }

    /**
     * Returns the latest time for which a majority of the epoch, this run included, has answered heartbeats sent then
     * or later and knows no later epoch.
     */
    private long majorityContactMillis() {
        Optional<Epoch> current = epoch();
        boolean laterKnown =
                peers.values().stream().anyMatch(peer -> peer.report().knownEpoch() > epochNumber());
        if (current.isEmpty() || !current.get().contains(self) || laterKnown) {
            return NEVER_MILLIS;
        }
        int needed = current.get().majority() - 1;
        if (needed == 0) {
            return Long.MAX_VALUE / 2;
        }
        List<Long> confirmations = others().stream()
                .flatMap(member -> peer(member).stream())
                .map(Peer::acknowledgedHeartbeatMillis)
                .sorted(Comparator.reverseOrder())
                .toList();
        return confirmations.size() < needed ? NEVER_MILLIS : confirmations.get(needed - 1);
    }

    private Membership withPeer(Peer peer) {
        return new Membership(
                self, epochs, revocations, peers.plus(peer.member().hostId(), peer), logContactMillis, settledEpoch);
    }

    private Membership withEpoch(Epoch epoch, long loggedSettled, long nowMillis) {
        boolean beforeSettled = epochs.isEmpty() && epoch.number() < loggedSettled;
        if (epoch.number() <= epochNumber() || beforeSettled) {
            return this;
        }
        PVector<Revocation> grown = revocations;
        if (!epochs.isEmpty()) {
            grown = grown.plusAll(revocationsBetween(epochs.get(epochs.size() - 1), epoch, nowMillis));
        }
        PMap<String, Peer> known = withMembersOf(epoch, nowMillis);
        return new Membership(self, epochs.plus(epoch), grown, known, logContactMillis, settledEpoch);
    }

    private PMap<String, Peer> withMembersOf(Epoch epoch, long nowMillis) {
        PMap<String, Peer> known = peers;
        for (Member member : epoch.members()) {
            Peer peer = known.get(member.hostId());
            boolean newer = peer == null || peer.member().incarnation() < member.incarnation();
            if (newer && !member.hostId().equals(self.hostId())) {
                known = known.plus(member.hostId(), new Peer(member, emptyReport(), nowMillis, NEVER_MILLIS));
            }
        }
        return known;
    }

    private static Report emptyReport() {
        return new Report(0, 0, false, 0, Map.of(), Map.of(), List.of());
    }

    private List<Revocation> revocationsBetween(Epoch before, Epoch after, long nowMillis) {
        return before.members().stream()
                .filter(member -> !member.sameRun(self))
                .filter(member -> !after.hasReleased(member))
                .filter(member -> !after.contains(member) || after.share() < before.share())
                .map(member -> new Revocation(
                        member, after.number(), after.contains(member), before, nowMillis, OptionalLong.empty()))
                .toList();
    }

    private Revocation withMajorityObserved(Revocation revocation, List<Member> forgotten, long nowMillis) {
        if (revocation.majorityAtMillis().isPresent()) {
            return revocation;
        }
        long unable = revocation.previousEpoch().members().stream()
                .filter(member -> canNoLongerConfirm(member, revocation, forgotten))
                .count();
        return unable >= revocation.previousEpoch().majority() ? revocation.withMajorityAt(nowMillis) : revocation;
    }

    private boolean canNoLongerConfirm(Member member, Revocation revocation, List<Member> forgotten) {
        boolean earlierRunHere = member.hostId().equals(self.hostId()) && member.incarnation() < self.incarnation();
        if (member.sameRun(self) || earlierRunHere || contains(forgotten, member)) {
            return true;
        }
        Peer peer = peers.get(member.hostId());
        return peer != null && (peer.acknowledged(member, revocation.revokedByEpoch()) || peer.replaces(member));
    }

    private boolean isSettled(Revocation revocation, List<Member> forgotten, long nowMillis, long waitMillis) {
        if (revocation.revokedByEpoch() <= settledEpoch || contains(forgotten, revocation.previousHolder())) {
            return true;
        }
        Peer peer = peers.get(revocation.previousHolder().hostId());
        boolean acknowledged =
                peer != null && peer.acknowledged(revocation.previousHolder(), revocation.revokedByEpoch());
        return acknowledged || revocation.hasExpired(nowMillis, waitMillis);
    }

    private Membership withSettled(long number) {
        long settled = Math.max(settledEpoch, number);
        PVector<Revocation> open = revocations;
        for (Revocation revocation : revocations) {
            open = revocation.revokedByEpoch() <= settled ? open.minus(revocation) : open;
        }
        PVector<Epoch> kept = epochs;
        while (kept.size() > 1 && kept.get(0).number() < settled) {
            kept = kept.minus(0);
        }
        return new Membership(self, kept, open, peers, logContactMillis, settled);
    }

    private static boolean contains(List<Member> members, Member member) {
        return members.stream().anyMatch(member::sameRun);
    }
}
