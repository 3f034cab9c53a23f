package org.jackdawbeam.logic.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.jackdawbeam.model.member.Epoch;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.peer.PeerMessage.Report;
import org.jackdawbeam.model.settings.EntryTimings;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private static final EntryTimings TIMINGS = EntryTimings.defaults();
    private static final long WAIT = TIMINGS.leaseMillis() + TIMINGS.driftMillis();
    private static final Member A = member("a", 1);
    private static final Member B = member("b", 1);
    private static final Member C = member("c", 1);
    private static final Member D = member("d", 1);
    private static final Epoch THREE = new Epoch(1, List.of(A, B, C), List.of());

    @Test
    void newRunHoldsNeitherShareNorLease() {
        assertThat(Membership.starting(A).usableShare()).isZero();
        assertThat(Membership.starting(A).holdsLease(0, TIMINGS)).isFalse();
    }

    @Test
    void leaseStartsWhenTheLogReadIsSent() {
        Membership membership = inEpoch(A, THREE).withLogContact(1_000);

        assertThat(membership.holdsLease(1_000 + TIMINGS.leaseMillis() - 1, TIMINGS))
                .isTrue();
        assertThat(membership.holdsLease(1_000 + TIMINGS.leaseMillis(), TIMINGS))
                .isFalse();
    }

    @Test
    void majorityOfPeersRenewsTheLeaseWithoutTheLog() {
        Membership membership = inEpoch(A, THREE).withHeartbeatAnswer(B, report(1), 5_000, 5_010);

        assertThat(membership.holdsLease(5_100, TIMINGS)).isTrue();
    }

    @Test
    void anotherIncarnationDoesNotRenewTheLease() {
        Membership membership = inEpoch(A, THREE).withHeartbeatAnswer(member("b", 2), report(1), 5_000, 5_010);

        assertThat(membership.holdsLease(5_100, TIMINGS)).isFalse();
    }

    @Test
    void peerWithALaterEpochInvalidatesTheMajorityLease() {
        Membership membership = inEpoch(A, THREE)
                .withHeartbeatAnswer(B, report(1), 5_000, 5_010)
                .withHeartbeatAnswer(C, report(2), 5_000, 5_020);

        assertThat(membership.holdsLease(5_100, TIMINGS)).isFalse();
    }

    @Test
    void newMemberGetsItsShareOnceAllReducedMembersHaveAcknowledged() {
        Epoch four = new Epoch(2, List.of(A, B, C, D), List.of());
        Membership newMember = inEpoch(D, THREE).withEpochs(List.of(four), 0, List.of(), 100, TIMINGS);

        Membership two = settle(newMember.withReport(A, report(2), 200).withReport(B, report(2), 200), 200);
        Membership all = settle(two.withReport(C, report(2), 300), 300);

        assertThat(two.usableShare()).isZero();
        assertThat(all.usableShare()).isEqualTo(0.25);
    }

    @Test
    void shareOfAnExcludedMemberIsUsedOnlyAfterItsLeasesExpired() {
        Epoch two = new Epoch(2, List.of(A, B), List.of());
        Membership survivor = inEpoch(A, THREE).withEpochs(List.of(two), 0, List.of(), 1_000, TIMINGS);
        Membership majority = settle(survivor.withReport(B, report(2), 5_000), 5_000);

        assertThat(settle(majority, 5_000 + WAIT - 1).usableShare()).isEqualTo(1.0 / 3);
        assertThat(settle(majority, 5_000 + WAIT).usableShare()).isEqualTo(0.5);
    }

    @Test
    void exclusionIsNotSettledWithoutAMajority() {
        Epoch two = new Epoch(2, List.of(A, B), List.of());
        Membership survivor = inEpoch(A, THREE).withEpochs(List.of(two), 0, List.of(), 1_000, TIMINGS);

        assertThat(settle(survivor, 1_000_000).usableShare()).isEqualTo(1.0 / 3);
    }

    @Test
    void releasedMemberIsNotWaitedFor() {
        Epoch two = new Epoch(2, List.of(A, B), List.of(C));
        Membership survivor = inEpoch(A, THREE).withEpochs(List.of(two), 0, List.of(), 1_000, TIMINGS);

        assertThat(survivor.usableShare()).isEqualTo(0.5);
    }

    @Test
    void forgottenMemberIsNotWaitedFor() {
        Epoch one = new Epoch(2, List.of(A), List.of());
        Membership survivor = inEpoch(A, THREE).withEpochs(List.of(one), 0, List.of(B, C), 1_000, TIMINGS);

        assertThat(survivor.usableShare()).isEqualTo(1);
    }

    @Test
    void minorityProposesNoExclusion() {
        Membership partitioned = inEpoch(A, THREE);

        assertThat(EpochProposer.excludeSilent(partitioned, 60_000, TIMINGS)).isEmpty();
    }

    @Test
    void firstLiveMemberProposesToExcludeAnUnresponsiveOne() {
        Membership first = inEpoch(A, THREE).withReport(B, report(1), 60_000);
        Membership second = inEpoch(B, THREE).withReport(A, report(1), 60_000);

        assertThat(EpochProposer.excludeSilent(first, 60_000, TIMINGS)
                        .orElseThrow()
                        .members())
                .containsExactly(A, B);
        assertThat(EpochProposer.excludeSilent(second, 60_000, TIMINGS)).isEmpty();
    }

    private static Membership inEpoch(Member self, Epoch epoch) {
        return Membership.starting(self).withEpochs(List.of(epoch), 0, List.of(), 0, TIMINGS);
    }

    private static Membership settle(Membership membership, long nowMillis) {
        return membership.settle(nowMillis, TIMINGS, List.of());
    }

    private static Member member(String host, long incarnation) {
        return new Member(host, incarnation, "zone", "http://" + host, host + ":1");
    }

    private static Report report(long epoch) {
        return new Report(epoch, 0, false, 0, Map.of(), Map.of(), List.of());
    }
}
