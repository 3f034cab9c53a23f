package org.jackdawbeam.logic.request;

import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.request.AttemptId;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/** Processing phase of a request. */
public sealed interface Phase {

    /**
     * The request waits for tokens borrowed from peers.
     *
     * @param pendingLoanIds ids of loans without an answer yet
     * @param grants tokens granted so far, by loan id
     * @param lenders lender of each loan requested so far, by loan id
     * @param deadlineMillis time at which the request is refused if tokens are still missing
     */
    record Borrowing(
            PSet<String> pendingLoanIds, PMap<String, Double> grants, PMap<String, Member> lenders, long deadlineMillis)
            implements Phase {

        /** Returns the phase of a request that has not requested any loan yet. */
        public static Borrowing until(long deadlineMillis) {
            return new Borrowing(HashTreePSet.empty(), HashTreePMap.empty(), HashTreePMap.empty(), deadlineMillis);
        }

        /** Records a loan request to a lender. */
        public Borrowing withLoanRequested(String loanId, Member lender) {
            return new Borrowing(pendingLoanIds.plus(loanId), grants, lenders.plus(loanId, lender), deadlineMillis);
        }

        /** Cancels the pending loan requests; tokens granted for them later are returned to the lender. */
        public Borrowing withoutPendingLoans() {
            return new Borrowing(HashTreePSet.empty(), grants, lenders, deadlineMillis);
        }

        /** Records the answer of a lender, which may grant no tokens. */
        public Borrowing withGrant(String loanId, double tokens) {
            PMap<String, Double> grown = tokens > 0 ? grants.plus(loanId, tokens) : grants;
            return new Borrowing(pendingLoanIds.minus(loanId), grown, lenders, deadlineMillis);
        }

        /** Returns the tokens granted so far. */
        public double granted() {
            return grants.values().stream().mapToDouble(Double::doubleValue).sum();
        }
    }

    /** The request waits until its idempotency claim is read back from the log. */
    record Claiming(String claimId) implements Phase {}

    /** Another request holds the claim; this one waits for its answer. */
    record AwaitingAnswer() implements Phase {}

    /** The request waits in the queue for a target. */
    record Queued() implements Phase {}

    /** The request waits before the next attempt. */
    record BackingOff() implements Phase {}

    /** The request is in flight at a target. */
    record Running(AttemptId attempt, String target) implements Phase {}
}
