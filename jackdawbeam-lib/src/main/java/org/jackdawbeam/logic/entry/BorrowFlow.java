package org.jackdawbeam.logic.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jackdawbeam.logic.limit.Limits;
import org.jackdawbeam.logic.membership.Membership;
import org.jackdawbeam.logic.membership.Peer;
import org.jackdawbeam.logic.request.Phase;
import org.jackdawbeam.logic.request.Request;
import org.jackdawbeam.model.bundle.WorkspaceSpecification;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.peer.PeerMessage;
import org.jackdawbeam.model.refusal.Refusal;
import org.jackdawbeam.model.refusal.RefusalCode;

/**
 * Charges requests to the token balance of their workspace, and borrows tokens from peers if the local balance does not
 * suffice. The lender deducts the tokens before it sends the grant, so that a lost message may lose tokens but never
 * creates any.
 */
final class BorrowFlow {
    private static final double LOAN_MARGIN = 1.25;
    private static final long BORROW_ROUND_MILLIS = 60;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final EntryOptions options;

    BorrowFlow(EntryOptions options) {
        this.options = options;
    }

    /** Result of charging a request. */
    sealed interface Charge {
        /** The cost was deducted from the local balance and from granted loans. */
        record Paid(Transition transition) implements Charge {}

        /** The request waits for grants from peers or for tokens to accrue. */
        record Waiting(Transition transition) implements Charge {}

        /** The workspace exceeds its rate limit; all grants have been returned to their lenders. */
        record Denied(Transition transition, Refusal refusal) implements Charge {}
    }

    /** Returns whether the local balance and the grants cover the cost of the request. */
    boolean isCovered(EntryState state, Request request, Phase.Borrowing borrowing, long nowMillis) {
        String name = request.workspace().orElseThrow();
        double balance = workspace(state, name)
                .map(workspace -> state.limits().accrue(workspace, nowMillis).balance(name))
                .orElse(0.0);
        return request.work().cost() <= balance + borrowing.granted();
    }

    /** Charges the cost of a request that has just arrived. */
    Charge charge(EntryState state, Request request, WorkspaceSpecification workspace, long nowMillis) {
        if (request.work().cost() > workspace.burstTokens()) {
            return new Charge.Denied(Transition.to(state), Refusal.notRun(RefusalCode.COST_EXCEEDS_BURST));
        }
        Phase.Borrowing noLoans =
                Phase.Borrowing.until(nowMillis + options.timings().borrowMillis());
        return chargeOrBorrow(state, request, noLoans, workspace, nowMillis);
    }

    /**
     * Charges the request to the local balance and the grants if they cover its cost. Otherwise asks peers to lend the
     * missing tokens, provided that the fleet as a whole has them or accrues them before the deadline.
     */
    Charge chargeOrBorrow(
            EntryState state,
            Request request,
            Phase.Borrowing borrowing,
            WorkspaceSpecification workspace,
            long nowMillis) {
        String name = workspace.name();
        Limits limits = state.limits().accrue(workspace, nowMillis);
        EntryState accrued = state.withLimits(limits);
        double cost = request.work().cost();
        double missing = cost - limits.balance(name) - borrowing.granted();
        if (missing <= 0) {
            double fromGrants = Math.max(0, cost - limits.balance(name));
            EntryState paid = accrued.withLimits(limits.spend(name, cost - fromGrants));
            return new Charge.Paid(endLoans(paid, name, borrowing, fromGrants));
        }
        if (!options.borrowing()) {
            long retryAfter = Limits.millisUntil(workspace, missing);
            return new Charge.Denied(Transition.to(accrued), Refusal.notRun(RefusalCode.OVER_RATE, retryAfter));
        }
        return requestLoans(accrued, request, borrowing, workspace, missing, nowMillis);
    }

    /** Returns the specification of the workspace in the active bundle. */
    static Optional<WorkspaceSpecification> workspace(EntryState state, String name) {
        return state.log().folded().bundle().flatMap(bundle -> bundle.workspace(name));
    }

    /** Lends tokens to a peer, up to the local balance; lends none without a lease or if the epochs differ. */
    Transition onRequest(EntryState state, long nowMillis, PeerMessage.BorrowRequest asked) {
        Optional<WorkspaceSpecification> workspace = workspace(state, asked.workspace());
        boolean entitled = state.membership().holdsLease(nowMillis, options.timings())
                && state.membership().epochNumber() == asked.epoch();
        if (workspace.isEmpty() || !entitled) {
            return grant(state, asked, 0);
        }
        Limits limits = state.limits().accrue(workspace.get(), nowMillis);
        double tokens = Math.min(asked.tokens(), limits.balance(asked.workspace()));
        if (tokens <= 0) {
            return grant(state.withLimits(limits), asked, 0);
        }
        long expiresAt =
                nowMillis + options.timings().leaseMillis() + options.timings().driftMillis();
        Limits lent = limits.lend(asked.workspace(), asked.loanId(), tokens, expiresAt);
        return grant(state.withLimits(lent), asked, tokens);
    }

    /** Ends a loan granted by this entry and takes back the unused tokens. */
    Transition onLoanEnded(EntryState state, long nowMillis, PeerMessage.LoanEnded ended) {
        Optional<WorkspaceSpecification> workspace = workspace(state, ended.workspace());
        if (workspace.isEmpty()) {
            return Transition.to(state);
        }
        Limits limits = state.limits().endLoan(workspace.get(), ended.loanId(), ended.returnedTokens(), nowMillis);
        return Transition.to(state.withLimits(limits));
    }

    /** Returns the tokens of a grant whose request no longer waits for them. */
    static Transition returnGrant(EntryState state, PeerMessage.BorrowGrant grant) {
        return Transition.to(state)
                .with(loanEnded(state, grant.sender(), grant.workspace(), grant.loanId(), grant.tokens()));
    }

    private Charge requestLoans(
            EntryState state,
            Request request,
            Phase.Borrowing borrowing,
            WorkspaceSpecification workspace,
            double missing,
            long nowMillis) {
        List<Peer> lenders = lenders(state, workspace, nowMillis);
        double available = lenders.stream()
                .mapToDouble(peer -> estimatedBalance(state, peer, workspace, nowMillis))
                .sum();
        double reserved = neededByWaitingRequests(state, request, workspace.name());
        double shortfall = Math.max(0, missing + reserved - available);
        long waitMillis = shortfall > 0 ? Limits.millisUntil(workspace, shortfall) : 0;
        if (nowMillis + waitMillis >= borrowing.deadlineMillis()) {
            Refusal refusal = Refusal.notRun(RefusalCode.OVER_RATE, Math.max(1, waitMillis));
            return new Charge.Denied(endLoans(state, workspace.name(), borrowing, 0), refusal);
        }
        Phase.Borrowing asking = borrowing;
        double remaining = missing * LOAN_MARGIN;
        List<Effect> effects = new ArrayList<>();
        for (Peer lender : lenders) {
            if (remaining <= 0) {
                break;
            }
            double tokens = Math.min(remaining, estimatedBalance(state, lender, workspace, nowMillis));
            String loanId = loanId(state, request, asking);
            effects.add(new Effect.SendPeerMessage(
                    lender.member().peerAddress(),
                    new PeerMessage.BorrowRequest(
                            state.membership().self(),
                            loanId,
                            workspace.name(),
                            tokens,
                            state.membership().epochNumber())));
            asking = asking.withLoanRequested(loanId, lender.member());
            remaining -= tokens;
        }
        effects.add(new Effect.Schedule(BORROW_ROUND_MILLIS, new Event.BorrowRoundDue(nowMillis, request.id())));
        return new Charge.Waiting(
                Transition.to(state.withRequest(request.withPhase(asking))).withAll(effects));
    }

    /** Returns the tokens that other waiting requests of the workspace still need here; they have precedence. */
    private static double neededByWaitingRequests(EntryState state, Request request, String workspace) {
        double needed = 0;
        for (Request other : state.requests().byId().values()) {
            boolean competes = other.id() != request.id()
                    && other.phase() instanceof Phase.Borrowing
                    && other.workspace().orElse("").equals(workspace);
            if (competes) {
                needed += other.work().cost() - ((Phase.Borrowing) other.phase()).granted();
            }
        }
        return needed;
    }

    private static String loanId(EntryState state, Request request, Phase.Borrowing borrowing) {
        return state.membership().self().label() + "/" + request.id() + "/"
                + borrowing.lenders().size();
    }

    private List<Peer> lenders(EntryState state, WorkspaceSpecification workspace, long nowMillis) {
        Membership membership = state.membership();
        return membership.others().stream()
                .filter(member ->
                        membership.isAlive(member, nowMillis, options.timings().memberDeadMillis()))
                .flatMap(member -> membership.peer(member).stream())
                .filter(peer -> estimatedBalance(state, peer, workspace, nowMillis) >= 1)
                .sorted(Comparator.comparingDouble(peer -> -estimatedBalance(state, peer, workspace, nowMillis)))
                .toList();
    }

    /** Estimates the balance of a peer from its last report and the tokens accrued since then. */
    private static double estimatedBalance(
            EntryState state, Peer peer, WorkspaceSpecification workspace, long nowMillis) {
        double share = state.limits().share();
        double reported = peer.report().balances().getOrDefault(workspace.name(), 0.0);
        double accrued =
                share * workspace.tokensPerSecond() * (nowMillis - peer.lastMessageMillis()) / MILLIS_PER_SECOND;
        return Math.min(reported + accrued, share * workspace.burstTokens());
    }

    private static Transition grant(EntryState state, PeerMessage.BorrowRequest asked, double tokens) {
        PeerMessage answer = new PeerMessage.BorrowGrant(
                state.membership().self(),
                asked.loanId(),
                asked.workspace(),
                tokens,
                state.limits().balance(asked.workspace()));
        return Transition.to(state)
                .with(new Effect.SendPeerMessage(asked.sender().peerAddress(), answer));
    }

    private static Transition endLoans(
            EntryState state, String workspace, Phase.Borrowing borrowing, double tokensUsed) {
        double remaining = tokensUsed;
        List<Effect> effects = new ArrayList<>();
        for (var grant : borrowing.grants().entrySet()) {
            double used = Math.min(remaining, grant.getValue());
            Member lender = borrowing.lenders().get(grant.getKey());
            effects.add(loanEnded(state, lender, workspace, grant.getKey(), grant.getValue() - used));
            remaining -= used;
        }
        return Transition.to(state).withAll(effects);
    }

    private static Effect loanEnded(EntryState state, Member lender, String workspace, String loanId, double returned) {
        PeerMessage message = new PeerMessage.LoanEnded(state.membership().self(), workspace, loanId, returned);
        return new Effect.SendPeerMessage(lender.peerAddress(), message);
    }
}
