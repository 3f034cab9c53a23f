package org.jackdawbeam.logic.entry;

import java.util.Optional;
import org.jackdawbeam.logic.configuration.BundleDecoder;
import org.jackdawbeam.logic.configuration.LogReducer;
import org.jackdawbeam.logic.configuration.SignatureVerifier;
import org.jackdawbeam.model.peer.PeerMessage;

/**
 * Reduces all events of an entry to state changes and effects. The reducer is a pure function: equal states and events
 * yield equal transitions, so that every failure can be reproduced by replaying its events.
 */
public final class EntryReducer {
    private final AppendFlow appends;
    private final LogFlow log;
    private final MembershipFlow membership;
    private final WithdrawalFlow withdrawals;
    private final OperatorFlow operators;
    private final TargetFlow targets;
    private final OrderFlow orders;
    private final BorrowFlow borrowing;
    private final AdmissionFlow admission;
    private final ClaimFlow claims;
    private final DispatchFlow dispatch;
    private final AttemptFlow attempts;
    private final StopFlow stop;

    public EntryReducer(EntryOptions options, SignatureVerifier verifier, BundleDecoder decoder) {
        LogReducer reducer = new LogReducer(verifier, decoder, options.timings().claimWindowMillis());
        this.appends = new AppendFlow(options);
        RequestFinisher finisher = new RequestFinisher(appends);
        this.dispatch = new DispatchFlow(options, finisher);
        this.claims = new ClaimFlow(options, appends, dispatch, finisher);
        this.targets = new TargetFlow(options, dispatch);
        this.orders = new OrderFlow(options, appends);
        this.log = new LogFlow(options, reducer, claims, orders, targets, appends);
        this.membership = new MembershipFlow(options, appends);
        this.withdrawals = new WithdrawalFlow(appends);
        this.operators = new OperatorFlow(verifier, appends);
        this.borrowing = new BorrowFlow(options);
        this.admission = new AdmissionFlow(options, borrowing, claims, dispatch, finisher);
        this.attempts = new AttemptFlow(dispatch, finisher);
        this.stop = new StopFlow(options);
    }

    /** Returns the state after the event and the effects to execute. */
    public Transition apply(EntryState state, Event event) {
        return switch (event) {
            case Event.Ticked ticked -> tick(state, ticked.nowMillis());
            case Event.LogRead read -> log.onRead(state, read);
            case Event.LogReadFailed failed -> log.onReadFailed(state, failed);
            case Event.AppendEnded ended -> appends.onEnded(state, ended);
            case Event.PeerReceived received -> onPeer(state, received.nowMillis(), received.message());
            case Event.LoadReported reported -> targets.onLoad(state, reported);
            case Event.LoadUnavailable unavailable -> targets.onLoadUnavailable(state, unavailable);
            case Event.CacheAnnounced announced -> targets.onCacheAnnounced(state, announced);
            case Event.HostListRead list -> targets.onHostList(state, list);
            case Event.RequestArrived arrived -> admission.onArrival(state, arrived);
            case Event.CallerLeft left -> attempts.onCallerLeft(state, left);
            case Event.AttemptWritten written -> attempts.onWritten(state, written);
            case Event.AttemptAnswering answering -> attempts.onAnswering(state, answering);
            case Event.AttemptCompleted completed -> attempts.onCompleted(state, completed);
            case Event.AttemptFailed failed -> attempts.onFailed(state, failed);
            case Event.BackoffEnded ended -> attempts.onBackoffEnded(state, ended);
            case Event.BorrowRoundDue due -> admission.onBorrowRoundDue(state, due);
            case Event.OutcomeDue due -> claims.onOutcomeDue(state, due.nowMillis(), due.requestId());
            case Event.ClaimTimedOut timedOut -> claims.onTimeout(state, timedOut);
            case Event.WaitTimedOut timedOut -> dispatch.onWaitTimeout(state, timedOut);
            case Event.OrderAnswered answered -> orders.onAnswered(state, answered);
            case Event.OperatorRequested requested -> operators.onRequest(state, requested);
            case Event.SnapshotReceived received -> log.onSnapshot(state, received);
            case Event.StopRequested requested -> stop.onRequest(state, requested);
        };
    }

    private Transition tick(EntryState state, long nowMillis) {
        return membership
                .tick(state, nowMillis)
                .then(next -> log.tick(next, nowMillis))
                .then(next -> withdrawals.tick(next, nowMillis))
                .then(next -> targets.tick(next, nowMillis))
                .then(next -> orders.tick(next, nowMillis))
                .then(next -> log.appendSnapshotIfDue(next, nowMillis))
                .then(next -> appends.sendDue(next, nowMillis))
                .then(next -> dispatch.drainAll(next, nowMillis))
                .map(next -> claims.forgetOldClaims(next, nowMillis))
                .then(next -> stop.tick(next, nowMillis));
    }

    private Transition onPeer(EntryState state, long nowMillis, PeerMessage message) {
        return switch (message) {
            case PeerMessage.HeartbeatQuestion question -> membership.onQuestion(state, nowMillis, question);
            case PeerMessage.HeartbeatAnswer answer -> membership.onAnswer(state, nowMillis, answer);
            case PeerMessage.WithdrawalNotice notice ->
                Transition.to(WithdrawalFlow.addPending(state, nowMillis, notice.keyId()));
            case PeerMessage.BorrowRequest request -> borrowing.onRequest(state, nowMillis, request);
            case PeerMessage.BorrowGrant grant -> admission.onGrant(state, nowMillis, grant);
            case PeerMessage.LoanEnded ended -> borrowing.onLoanEnded(state, nowMillis, ended);
            case PeerMessage.OutcomeQuestion question -> claims.onOutcomeQuestion(state, question);
            case PeerMessage.OutcomeAnswer answer -> claims.onOutcomeAnswer(state, nowMillis, answer);
            case PeerMessage.SnapshotRequest request -> sendSnapshot(state, request);
            case PeerMessage.SnapshotAnswer answer ->
                log.onSnapshot(state, new Event.SnapshotReceived(nowMillis, answer.snapshot()));
        };
    }

    private static Transition sendSnapshot(EntryState state, PeerMessage.SnapshotRequest request) {
        boolean further = state.log().folded().nextOffset() > request.nextOffset();
        Optional<PeerMessage> answer = further
                ? Optional.of(new PeerMessage.SnapshotAnswer(
                        state.membership().self(), state.log().folded().toSnapshot()))
                : Optional.empty();
        Transition next = Transition.to(state);
        return answer.map(message ->
                        next.with(new Effect.SendPeerMessage(request.sender().peerAddress(), message)))
                .orElse(next);
    }
}
