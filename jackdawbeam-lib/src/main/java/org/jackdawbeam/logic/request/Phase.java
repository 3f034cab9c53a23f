package org.jackdawbeam.logic.request;

import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.request.AttemptId;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/** What an admitted request waits for. */
public sealed interface Phase {

    /**
     * The request waits for tokens from peers.
     *
     * @param pendingLoanIds loan ids without an answer
     * @param grants tokens granted so far by loan id
     * @param lenders lender by loan id, of all loans asked for so far
     * @param deadlineMillis when the request is refused if the tokens have not come
     */
    record Borrowing(
            PSet<String> pendingLoanIds, PMap<String, Double> grants, PMap<String, Member> lenders, long deadlineMillis)
            implements Phase {

        /** Returns the phase of a request that has not asked anybody yet. */
        public static Borrowing until(long deadlineMillis) {
            return new Borrowing(HashTreePSet.empty(), HashTreePMap.empty(), HashTreePMap.empty(), deadlineMillis);
        }

        /** Records a question to a lender. */
        public Borrowing withLoanRequested(String loanId, Member lender) {
            return new Borrowing(pendingLoanIds.plus(loanId), grants, lenders.plus(loanId, lender), deadlineMillis);
        }

        /** Gives up the questions that have no answer yet; tokens that still come for them are returned. */
        public Borrowing withoutPendingLoans() {
            return new Borrowing(HashTreePSet.empty(), grants, lenders, deadlineMillis);
        }

        /** Records the answer of a lender. */
        public Borrowing withGrant(String loanId, double tokens) {
            PMap<String, Double> grown = tokens > 0 ? grants.plus(loanId, tokens) : grants;
            return new Borrowing(pendingLoanIds.minus(loanId), grown, lenders, deadlineMillis);
        }

        /** Returns the tokens granted so far. */
        public double granted() {
            return grants.values().stream().mapToDouble(Double::doubleValue).sum();
        }
    }

    /** The request waits until its claim is read back from the log. */
    record Claiming(String claimId) implements Phase {}

    /** Another request holds the claim; this one waits for its answer. */
    record AwaitingAnswer() implements Phase {}

    /** The request waits for a target. */
    record Queued() implements Phase {}

    /** The request waits before another try. */
    record BackingOff() implements Phase {}

    /** The request is in flight at a target. */
    record Running(AttemptId attempt, String target) implements Phase {}
}
