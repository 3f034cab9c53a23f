package org.jackdawbeam.logic.entry;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jackdawbeam.logic.request.Phase;
import org.jackdawbeam.logic.request.Request;
import org.jackdawbeam.logic.request.Requests;
import org.jackdawbeam.logic.request.Work;
import org.jackdawbeam.model.log.LogRecord.ClaimEnded;
import org.jackdawbeam.model.log.LogRecord.ClaimMade;
import org.jackdawbeam.model.log.LogRecord.LoggedClaim;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.peer.PeerMessage;
import org.jackdawbeam.model.refusal.ExecutionStatus;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.StoredAnswer;

/**
 * Ensures that a request with an idempotency key is executed at most once. A claim is appended to the log and read back
 * before the request is sent to a target. The first claim in the log wins, whichever entry appended it. See decision
 * 0004.
 */
final class ClaimFlow {
    private static final long CLAIM_TIMEOUT_MILLIS = 2_000;
    private static final long RETRY_AFTER_MILLIS = 2_000;
    private static final long OUTCOME_POLL_MILLIS = 300;
    private static final long OPEN_CLAIM_RETENTION_MILLIS = 600_000;

    private final EntryOptions options;
    private final AppendFlow appends;
    private final DispatchFlow dispatch;
    private final RequestFinisher finisher;

    ClaimFlow(EntryOptions options, AppendFlow appends, DispatchFlow dispatch, RequestFinisher finisher) {
        this.options = options;
        this.appends = appends;
        this.dispatch = dispatch;
        this.finisher = finisher;
    }

    /** Returns the scope of a claim, which combines the workspace and the idempotency key of the request. */
    static String scope(Request request) {
        Work.Service service = (Work.Service) request.work();
        return request.workspace().orElse("") + "|"
                + service.call().idempotencyKey().orElseThrow();
    }

    boolean needsClaim(Request request) {
        return request.work() instanceof Work.Service service && service.needsClaim();
    }

    /** Handles a request whose key is already claimed; returns an empty result if the request needs its own claim. */
    Optional<Transition> answerFromLog(EntryState state, Request request, long nowMillis) {
        if (!needsClaim(request)) {
            return Optional.empty();
        }
        LoggedClaim claim = state.log().folded().claims().get(scope(request));
        if (claim != null && !claim.wasReleased()) {
            return Optional.of(onDuplicate(state, request, claim, nowMillis));
        }
        if (state.log().isSilent(nowMillis, options.timings().leaseMillis())) {
            Refusal refusal = Refusal.notRun(RefusalCode.PLATFORM_LOG_UNAVAILABLE, RETRY_AFTER_MILLIS);
            return Optional.of(
                    finisher.refuse(state, request.withPhase(new Phase.AwaitingAnswer()), refusal, nowMillis));
        }
        return Optional.empty();
    }

    /** Appends a claim for the request and schedules its timeout. */
    Transition claim(EntryState state, Request request, long nowMillis) {
        String claimId = AppendFlow.nextRecordId(state);
        Requests requests = state.requests()
                .with(request.withPhase(new Phase.Claiming(claimId)))
                .withPendingClaim(claimId, new Requests.PendingClaim(request.id(), nowMillis));
        Work.Service service = (Work.Service) request.work();
        return appends.append(
                        state.withRequests(requests),
                        nowMillis,
                        recordId -> new ClaimMade(
                                recordId,
                                scope(request),
                                service.call().digest(),
                                state.membership().self()))
                .with(new Effect.Schedule(CLAIM_TIMEOUT_MILLIS, new Event.ClaimTimedOut(nowMillis, request.id())));
    }

    /** Handles a claim that was read from the log. Claims of other runs are ignored. */
    Transition onClaimMade(EntryState state, long nowMillis, ClaimMade made) {
        Requests.PendingClaim open = state.requests().pendingClaims().get(made.recordId());
        if (open == null) {
            return Transition.to(state);
        }
        EntryState next = state.withRequests(state.requests().withoutPendingClaim(made.recordId()));
        LoggedClaim winner = next.log().folded().claims().get(made.scope());
        boolean won = winner != null && winner.claim().recordId().equals(made.recordId()) && !winner.ended();
        Optional<Request> request = next.requests()
                .find(open.requestId())
                .filter(found -> found.phase().equals(new Phase.Claiming(made.recordId())));
        if (request.isEmpty()) {
            return won ? releaseClaim(next, nowMillis, made) : Transition.to(next);
        }
        if (won) {
            Request holder = request.get().holdingClaim(made.recordId());
            return dispatch.enqueue(next.withRequest(holder), holder, nowMillis);
        }
        EntryState refunded = finisher.refund(next, request.get(), 0, nowMillis);
        return onDuplicate(refunded, request.get(), winner, nowMillis);
    }

    /** Asks the claimant for the outcome and schedules the next poll. */
    Transition onOutcomeDue(EntryState state, long nowMillis, long requestId) {
        Optional<Request> request =
                state.requests().find(requestId).filter(found -> found.phase() instanceof Phase.AwaitingAnswer);
        if (request.isEmpty()) {
            return Transition.to(state);
        }
        LoggedClaim claim = state.log().folded().claims().get(scope(request.get()));
        if (claim == null || claim.ended()) {
            return Transition.to(state);
        }
        ClaimMade made = claim.claim();
        PeerMessage question =
                new PeerMessage.OutcomeQuestion(state.membership().self(), made.scope(), made.recordId());
        return Transition.to(state)
                .with(new Effect.SendPeerMessage(made.claimant().peerAddress(), question))
                .with(new Effect.Schedule(OUTCOME_POLL_MILLIS, new Event.OutcomeDue(nowMillis, requestId)));
    }

    /** Reports an outcome that is in the log or about to be appended. Only the claimant itself ends a claim. */
    Transition onOutcomeQuestion(EntryState state, PeerMessage.OutcomeQuestion question) {
        Member self = state.membership().self();
        Transition next = Transition.to(state);
        return knownOutcome(state, question)
                .map(answer -> new PeerMessage.OutcomeAnswer(self, question.scope(), question.claimId(), answer))
                .map(message ->
                        next.with(new Effect.SendPeerMessage(question.sender().peerAddress(), message)))
                .orElse(next);
    }

    private static Optional<Optional<StoredAnswer>> knownOutcome(
            EntryState state, PeerMessage.OutcomeQuestion question) {
        LoggedClaim logged = state.log().folded().claims().get(question.scope());
        boolean answered = logged != null
                && logged.claim().recordId().equals(question.claimId())
                && logged.answer().isPresent();
        if (answered) {
            return Optional.of(logged.answer());
        }
        return state.log().pending().values().stream()
                .map(PendingAppend::record)
                .filter(record ->
                        record instanceof ClaimEnded ended && ended.claimId().equals(question.claimId()))
                .map(record -> ((ClaimEnded) record).answer())
                .findFirst();
    }

    /** Completes the requests that wait for an outcome reported by a peer. */
    Transition onOutcomeAnswer(EntryState state, long nowMillis, PeerMessage.OutcomeAnswer message) {
        LoggedClaim claim = state.log().folded().claims().get(message.scope());
        boolean sameClaim = claim != null && claim.claim().recordId().equals(message.claimId());
        return sameClaim ? finishWaiting(state, nowMillis, message.scope(), message.answer()) : Transition.to(state);
    }

    /** Completes the requests that wait for the end of the claim. */
    Transition onClaimEnded(EntryState state, long nowMillis, ClaimEnded ended) {
        return finishWaiting(state, nowMillis, ended.scope(), ended.answer());
    }

    private Transition finishWaiting(EntryState state, long nowMillis, String scope, Optional<StoredAnswer> answer) {
        List<Request> waiting = state.requests().byId().values().stream()
                .filter(request -> request.phase() instanceof Phase.AwaitingAnswer)
                .filter(request -> scope(request).equals(scope))
                .toList();
        Transition next = Transition.to(state);
        for (Request request : waiting) {
            next = next.then(current -> answer.isPresent()
                    ? finisher.replay(current, request, answer.get(), nowMillis)
                    : finisher.refuse(current, request, logUnavailable(), nowMillis));
        }
        return next;
    }

    Transition onTimeout(EntryState state, Event.ClaimTimedOut event) {
        Optional<Request> request = state.requests().find(event.requestId());
        if (request.isEmpty() || !(request.get().phase() instanceof Phase.Claiming claiming)) {
            return Transition.to(state);
        }
        EntryState next = AppendFlow.dropPending(state, claiming.claimId());
        return finisher.refuse(next, request.get(), logUnavailable(), event.nowMillis());
    }

    /** Removes open claims that were not read back from the log within the retention time. */
    EntryState forgetOldClaims(EntryState state, long nowMillis) {
        Requests requests = state.requests();
        for (var open : state.requests().pendingClaims().entrySet()) {
            boolean old = open.getValue().madeAtMillis() + OPEN_CLAIM_RETENTION_MILLIS < nowMillis;
            requests = old ? requests.withoutPendingClaim(open.getKey()) : requests;
        }
        return requests == state.requests() ? state : state.withRequests(requests);
    }

    /** Handles a request whose key is claimed by another request. The request carries no charge. */
    private Transition onDuplicate(EntryState state, Request request, LoggedClaim claim, long nowMillis) {
        Request waiting = request.withPhase(new Phase.AwaitingAnswer());
        Work.Service service = (Work.Service) request.work();
        if (!claim.claim().digest().equals(service.call().digest())) {
            return finisher.refuse(state, waiting, Refusal.notRun(RefusalCode.IDEMPOTENCY_KEY_REUSED), nowMillis);
        }
        if (claim.answer().isPresent()) {
            return finisher.replay(state, waiting, claim.answer().get(), nowMillis);
        }
        boolean claimantServes = state.membership()
                .epoch()
                .map(epoch -> epoch.contains(claim.claim().claimant()))
                .orElse(false);
        if (!claimantServes) {
            return finisher.refuse(state, waiting, Refusal.unknown(RefusalCode.OUTCOME_UNKNOWN), nowMillis);
        }
        return Transition.to(state.withRequest(waiting))
                .with(new Effect.Schedule(
                        options.timings().serviceCallMillis(), new Event.WaitTimedOut(nowMillis, request.id())))
                .then(next -> onOutcomeDue(next, nowMillis, request.id()));
    }

    /** Releases a claim whose request was abandoned before the claim was read back. */
    private Transition releaseClaim(EntryState state, long nowMillis, ClaimMade made) {
        return appends.append(
                state,
                nowMillis,
                recordId -> new ClaimEnded(recordId, made.scope(), made.recordId(), Optional.empty()));
    }

    private static Refusal logUnavailable() {
        return new Refusal(
                RefusalCode.PLATFORM_LOG_UNAVAILABLE, ExecutionStatus.NO, OptionalLong.of(RETRY_AFTER_MILLIS));
    }
}
