package org.jackdawbeam.logic.entry;

import java.util.List;
import java.util.Optional;
import org.jackdawbeam.logic.configuration.LoggedState;
import org.jackdawbeam.logic.limit.Limits;
import org.jackdawbeam.logic.membership.EpochProposer;
import org.jackdawbeam.logic.membership.Membership;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.log.LogRecord.EpochProposed;
import org.jackdawbeam.model.log.LogRecord.EpochSettled;
import org.jackdawbeam.model.member.Epoch;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.peer.PeerMessage;
import org.jackdawbeam.model.peer.PeerMessage.Report;
import org.jackdawbeam.model.settings.EntryTimings;

/** Handles heartbeats, leases and membership changes. */
final class MembershipFlow {
    private final EntryOptions options;
    private final AppendFlow appends;

    MembershipFlow(EntryOptions options, AppendFlow appends) {
        this.options = options;
        this.appends = appends;
    }

    Transition tick(EntryState state, long nowMillis) {
        List<Member> forgotten = state.log().folded().forgotten();
        Membership settled = state.membership().settle(nowMillis, options.timings(), forgotten);
        EntryState next = syncShare(state.withMembership(settled), nowMillis);
        return Transition.to(next)
                .then(current -> rejoinIfExcluded(current, nowMillis))
                .then(current -> proposeChange(current, nowMillis))
                .then(current -> recordSettlement(current, nowMillis))
                .then(current -> sendHeartbeats(current, nowMillis))
                .then(current -> requestSnapshot(current, nowMillis));
    }

    Transition onQuestion(EntryState state, long nowMillis, PeerMessage.HeartbeatQuestion question) {
        EntryState heard = withReport(state, nowMillis, question.sender(), question.report());
        Member self = heard.membership().self();
        PeerMessage answer = new PeerMessage.HeartbeatAnswer(self, question.askedAtMillis(), report(heard, nowMillis));
        return Transition.to(heard)
                .with(new Effect.SendPeerMessage(question.sender().peerAddress(), answer));
    }

    Transition onAnswer(EntryState state, long nowMillis, PeerMessage.HeartbeatAnswer answer) {
        EntryState heard = withReport(state, nowMillis, answer.sender(), answer.report());
        Membership confirmed = heard.membership()
                .withHeartbeatAnswer(answer.sender(), answer.report(), answer.askedAtMillis(), nowMillis);
        return Transition.to(syncShare(heard.withMembership(confirmed), nowMillis));
    }

    /** Updates the token buckets to the usable share. Tokens accrue at the previous share up to now. */
    static EntryState syncShare(EntryState state, long nowMillis) {
        double share = state.membership().usableShare();
        Optional<Bundle> bundle = state.log().folded().bundle();
        if (share == state.limits().share() || bundle.isEmpty()) {
            return state;
        }
        return state.withLimits(state.limits().withShare(bundle.get().workspaces(), share, nowMillis));
    }

    /** Returns the report that this entry sends to its peers. */
    static Report report(EntryState state, long nowMillis) {
        Membership membership = state.membership();
        return new Report(
                membership.epochNumber(),
                membership.settledEpoch(),
                !state.isServing(),
                state.requests().byId().size(),
                state.limits().balances(),
                state.placement().demand().at(nowMillis),
                List.copyOf(state.pendingWithdrawals().keySet()));
    }

    private EntryState withReport(EntryState state, long nowMillis, Member sender, Report report) {
        Membership membership = state.membership().withReport(sender, report, nowMillis);
        EntryState next = state.withMembership(membership);
        for (String keyId : report.pendingWithdrawals()) {
            next = WithdrawalFlow.addPending(next, nowMillis, keyId);
        }
        return syncShare(next, nowMillis);
    }

    /** Starts a new incarnation without any share or tokens if this run was excluded from the membership. */
    private Transition rejoinIfExcluded(EntryState state, long nowMillis) {
        Membership membership = state.membership();
        LoggedState logged = state.log().folded();
        boolean wasMember = logged.epochs().stream().anyMatch(epoch -> epoch.contains(membership.self()));
        boolean excluded = wasMember && !membership.isMember() && state.isServing();
        if (!excluded) {
            return Transition.to(state);
        }
        EntryState next = state.withMembership(membership.withNextIncarnation()).withLimits(Limits.none());
        return Transition.to(syncShare(next, nowMillis));
    }

    private Transition proposeChange(EntryState state, long nowMillis) {
        boolean pending = state.log().isAppending(EpochProposed.class::isInstance);
        boolean readable = state.log().caughtUp()
                && !state.log().isSilent(nowMillis, options.timings().leaseMillis());
        if (pending || !readable) {
            return Transition.to(state);
        }
        Optional<Epoch> proposal = proposal(state, nowMillis);
        return proposal.map(epoch -> appends.append(state, nowMillis, id -> new EpochProposed(id, epoch)))
                .orElse(Transition.to(state));
    }

    private Optional<Epoch> proposal(EntryState state, long nowMillis) {
        Membership membership = state.membership();
        EntryTimings timings = options.timings();
        return switch (state.stop()) {
            case StopPhase.Leaving leaving -> EpochProposer.leave(membership);
            case StopPhase.Draining draining -> Optional.empty();
            case StopPhase.Serving serving ->
                EpochProposer.join(membership)
                        .or(() -> EpochProposer.excludeForgotten(
                                membership, state.log().folded().forgotten()))
                        .or(() -> EpochProposer.excludeSilent(membership, nowMillis, timings));
        };
    }

    private Transition recordSettlement(EntryState state, long nowMillis) {
        Membership membership = state.membership();
        long logged = state.log().folded().settledEpoch();
        boolean wanted = EpochProposer.shouldRecordSettlement(membership, logged, nowMillis, options.timings());
        if (!wanted || state.log().isAppending(EpochSettled.class::isInstance)) {
            return Transition.to(state);
        }
        long settled = membership.settledEpoch();
        return appends.append(state, nowMillis, recordId -> new EpochSettled(recordId, settled));
    }

    private Transition sendHeartbeats(EntryState state, long nowMillis) {
        boolean due = state.heartbeatAtMillis() + options.timings().heartbeatMillis() <= nowMillis;
        if (!due) {
            return Transition.to(state);
        }
        Membership membership = state.membership();
        Report report = report(state, nowMillis);
        PeerMessage question = new PeerMessage.HeartbeatQuestion(membership.self(), nowMillis, report);
        List<Effect> sends = membership.others().stream()
                .map(member -> (Effect) new Effect.SendPeerMessage(member.peerAddress(), question))
                .toList();
        return Transition.to(state.withHeartbeatAt(nowMillis)).withAll(sends);
    }

    /**
     * Requests snapshots from peers while the log is unavailable: from those that know a later epoch, or from the seed
     * peers if no epoch is known.
     */
    private Transition requestSnapshot(EntryState state, long nowMillis) {
        boolean justSentHeartbeats = state.heartbeatAtMillis() == nowMillis;
        boolean silent = state.log().isSilent(nowMillis, options.timings().leaseMillis());
        if (!justSentHeartbeats || !silent) {
            return Transition.to(state);
        }
        Membership membership = state.membership();
        PeerMessage question = new PeerMessage.SnapshotRequest(
                membership.self(), state.log().folded().nextOffset());
        List<String> addresses = membership.epoch().isEmpty() ? options.seedPeers() : addressesAhead(membership);
        List<Effect> sends = addresses.stream()
                .map(address -> (Effect) new Effect.SendPeerMessage(address, question))
                .toList();
        return Transition.to(state).withAll(sends);
    }

    private static List<String> addressesAhead(Membership membership) {
        return membership.peers().values().stream()
                .filter(peer -> peer.report().knownEpoch() > membership.epochNumber())
                .map(peer -> peer.member().peerAddress())
                .toList();
    }
}
