package org.jackdawbeam.logic.entry;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.jackdawbeam.logic.configuration.KeyCheck;
import org.jackdawbeam.logic.configuration.KeyChecker;
import org.jackdawbeam.logic.request.Phase;
import org.jackdawbeam.logic.request.Request;
import org.jackdawbeam.logic.request.Work;
import org.jackdawbeam.logic.request.WorkResolver;
import org.jackdawbeam.model.bundle.AdapterSpecification;
import org.jackdawbeam.model.bundle.Bundle;
import org.jackdawbeam.model.bundle.ModelSpecification;
import org.jackdawbeam.model.bundle.WorkspaceSpecification;
import org.jackdawbeam.model.peer.PeerMessage;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;
import org.jackdawbeam.model.request.Call;

/** Admits or refuses arriving requests by checking the configuration, API key, route, lease and rate limit. */
final class AdmissionFlow {
    private static final long NOT_READY_RETRY_MILLIS = 1_000;
    private static final int MAX_LOAN_REQUESTS_PER_PEER = 2;

    private final EntryOptions options;
    private final BorrowFlow borrowing;
    private final ClaimFlow claims;
    private final DispatchFlow dispatch;
    private final RequestFinisher finisher;

    AdmissionFlow(
            EntryOptions options,
            BorrowFlow borrowing,
            ClaimFlow claims,
            DispatchFlow dispatch,
            RequestFinisher finisher) {
        this.options = options;
        this.borrowing = borrowing;
        this.claims = claims;
        this.dispatch = dispatch;
        this.finisher = finisher;
    }

    Transition onArrival(EntryState state, Event.RequestArrived event) {
        Optional<Bundle> bundle = state.log().folded().bundle();
        if (bundle.isEmpty()) {
            return refuse(state, event, Refusal.notRun(RefusalCode.NOT_READY, NOT_READY_RETRY_MILLIS));
        }
        Optional<Work> work = resolve(bundle.get(), event.call());
        if (work.isPresent() && isOpenToAll(work.get())) {
            Request request = Request.arrived(
                    event.requestId(),
                    event.nowMillis(),
                    options.timings().totalMillis(),
                    Optional.empty(),
                    Optional.empty(),
                    work.get());
            return dispatch.enqueue(state.withRequest(request), request, event.nowMillis());
        }
        if (event.credential().isEmpty()) {
            return refuse(state, event, Refusal.notRun(RefusalCode.KEY_MISSING));
        }
        KeyCheck check = KeyChecker.check(
                state.log().folded(),
                state.withdrawnNotLogged(),
                event.credential().get());
        return switch (check) {
            case KeyCheck.Rejected rejected -> refuse(state, event, Refusal.notRun(rejected.code()));
            case KeyCheck.Accepted accepted -> onAuthenticated(state, event, accepted, bundle.get(), work);
        };
    }

    Transition onGrant(EntryState state, long nowMillis, PeerMessage.BorrowGrant grant) {
        EntryState updated = state.withMembership(
                state.membership().withBalance(grant.sender(), grant.workspace(), grant.balanceLeft(), nowMillis));
        Optional<Request> waiting = updated.requests().byId().values().stream()
                .filter(request -> request.phase() instanceof Phase.Borrowing borrows
                        && borrows.pendingLoanIds().contains(grant.loanId()))
                .findFirst();
        if (waiting.isEmpty()) {
            return grant.tokens() > 0 ? BorrowFlow.returnGrant(updated, grant) : Transition.to(updated);
        }
        Phase.Borrowing borrows = ((Phase.Borrowing) waiting.get().phase()).withGrant(grant.loanId(), grant.tokens());
        Request request = waiting.get().withPhase(borrows);
        EntryState next = updated.withRequest(request);
        boolean belowRequestLimit = borrows.lenders().size()
                <= MAX_LOAN_REQUESTS_PER_PEER * next.membership().others().size();
        boolean askAgain = borrows.pendingLoanIds().isEmpty() && belowRequestLimit;
        return askAgain || borrowing.isCovered(next, request, borrows, nowMillis)
                ? chargeBorrowing(next, request, borrows, nowMillis)
                : Transition.to(next);
    }

    Transition onBorrowRoundDue(EntryState state, Event.BorrowRoundDue event) {
        Optional<Request> request = state.requests().find(event.requestId());
        if (request.isEmpty() || !(request.get().phase() instanceof Phase.Borrowing waiting)) {
            return Transition.to(state);
        }
        return chargeBorrowing(state, request.get(), waiting.withoutPendingLoans(), event.nowMillis());
    }

    private Transition chargeBorrowing(EntryState state, Request request, Phase.Borrowing borrows, long nowMillis) {
        return BorrowFlow.workspace(state, request.workspace().orElseThrow())
                .map(workspace -> borrowing.chargeOrBorrow(state, request, borrows, workspace, nowMillis))
                .map(charge -> applyCharge(request, charge, nowMillis))
                .orElseGet(() -> finisher.refuse(state, request, Refusal.notRun(RefusalCode.KEY_UNKNOWN), nowMillis));
    }

    private Transition applyCharge(Request request, BorrowFlow.Charge charge, long nowMillis) {
        return switch (charge) {
            case BorrowFlow.Charge.Paid paid -> paid.transition().then(next -> admit(next, request, nowMillis));
            case BorrowFlow.Charge.Waiting waiting -> waiting.transition();
            case BorrowFlow.Charge.Denied denied ->
                denied.transition().then(next -> deny(next, request, denied.refusal()));
        };
    }

    private Transition onAuthenticated(
            EntryState state, Event.RequestArrived event, KeyCheck.Accepted key, Bundle bundle, Optional<Work> work) {
        if (event.call() instanceof Call.ModelsCall) {
            return Transition.to(state).with(new Effect.AnswerModels(event.requestId(), modelNames(bundle)));
        }
        if (work.isEmpty()) {
            RefusalCode code =
                    event.call() instanceof Call.CompletionCall ? RefusalCode.MODEL_UNKNOWN : RefusalCode.ROUTE_UNKNOWN;
            return refuse(state, event, Refusal.notRun(code));
        }
        boolean forbidden =
                work.get() instanceof Work.Service service && !service.route().admits(key.workspace());
        if (forbidden) {
            return refuse(state, event, Refusal.notRun(RefusalCode.ROUTE_FORBIDDEN));
        }
        if (!state.membership().holdsLease(event.nowMillis(), options.timings())) {
            return refuse(state, event, Refusal.notRun(RefusalCode.HOST_ISOLATED, NOT_READY_RETRY_MILLIS));
        }
        Request request = Request.arrived(
                event.requestId(),
                event.nowMillis(),
                options.timings().totalMillis(),
                Optional.of(key.keyId()),
                Optional.of(key.workspace()),
                work.get());
        return claims.answerFromLog(state, request, event.nowMillis())
                .orElseGet(() -> charge(state, request, event.nowMillis()));
    }

    private Transition charge(EntryState state, Request request, long nowMillis) {
        Optional<WorkspaceSpecification> workspace =
                BorrowFlow.workspace(state, request.workspace().orElseThrow());
        if (workspace.isEmpty()) {
            return Transition.to(state)
                    .with(new Effect.RefuseRequest(request.id(), Refusal.notRun(RefusalCode.KEY_UNKNOWN)));
        }
        return applyCharge(request, borrowing.charge(state, request, workspace.get(), nowMillis), nowMillis);
    }

    private Transition admit(EntryState state, Request request, long nowMillis) {
        EntryState counted = countDemand(state, request, nowMillis);
        Request paid = request.withPhase(new Phase.Queued());
        EntryState next = counted.withRequests(counted.requests()
                .with(paid)
                .withBudget(counted.requests().budget().earn()));
        return claims.needsClaim(paid) ? claims.claim(next, paid, nowMillis) : dispatch.enqueue(next, paid, nowMillis);
    }

    private static EntryState countDemand(EntryState state, Request request, long nowMillis) {
        if (!(request.work() instanceof Work.Completion completion)) {
            return state;
        }
        PlacementState placement = state.placement();
        return state.withPlacement(
                placement.withDemand(placement.demand().plus(completion.model(), completion.cost(), nowMillis)));
    }

    private static Transition deny(EntryState state, Request request, Refusal refusal) {
        return Transition.to(state.withRequests(state.requests().without(request)))
                .with(new Effect.RefuseRequest(request.id(), refusal));
    }

    private static Transition refuse(EntryState state, Event.RequestArrived event, Refusal refusal) {
        return Transition.to(state).with(new Effect.RefuseRequest(event.requestId(), refusal));
    }

    private static Optional<Work> resolve(Bundle bundle, Call call) {
        return switch (call) {
            case Call.CompletionCall completion -> WorkResolver.resolve(bundle, completion);
            case Call.ServiceCall service -> WorkResolver.resolve(bundle, service);
            case Call.ModelsCall models -> Optional.empty();
        };
    }

    private static boolean isOpenToAll(Work work) {
        return work instanceof Work.Service service && service.route().openToAll();
    }

    private static List<String> modelNames(Bundle bundle) {
        return Stream.concat(
                        bundle.models().stream().map(ModelSpecification::name),
                        bundle.adapters().stream().map(AdapterSpecification::name))
                .toList();
    }
}
