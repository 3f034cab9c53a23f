package org.jackdawbeam.model.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawbeam.model.log.LogRecord.LoggedSnapshot;
import org.jackdawbeam.model.member.Member;
import org.jackdawbeam.model.request.StoredAnswer;

/** A message between two entries. Messages may be lost, repeated or reordered. */
public sealed interface PeerMessage {

    /** Returns the sender. */
    Member sender();

    /**
     * State that a member reports to its peers with each heartbeat.
     *
     * @param knownEpoch number of the latest epoch known to the sender
     * @param settledEpoch number of the latest epoch that the sender knows to be settled
     * @param leaving whether the sender accepts no new callers
     * @param openRequests requests in flight at the sender
     * @param balances available tokens by workspace
     * @param demand charged tokens per second by model
     * @param pendingWithdrawals key ids whose withdrawal may not be in the log yet
     */
    record Report(
            long knownEpoch,
            long settledEpoch,
            boolean leaving,
            int openRequests,
            Map<String, Double> balances,
            Map<String, Double> demand,
            List<String> pendingWithdrawals) {

        /** Returns the report with a different balance for one workspace. */
        public Report withBalance(String workspace, double balance) {
            Map<String, Double> updated = new HashMap<>(balances);
            updated.put(workspace, balance);
            return new Report(
                    knownEpoch, settledEpoch, leaving, openRequests, Map.copyOf(updated), demand, pendingWithdrawals);
        }
    }

    /** Heartbeat that asks whether the receiver knows a later epoch than the sender. */
    record HeartbeatQuestion(Member sender, long askedAtMillis, Report report) implements PeerMessage {}

    /** Response to a heartbeat, with the time at which it was sent by the clock of its sender. */
    record HeartbeatAnswer(Member sender, long askedAtMillis, Report report) implements PeerMessage {}

    /** Notifies a peer of the withdrawal of a key. */
    record WithdrawalNotice(Member sender, String keyId) implements PeerMessage {}

    /** Requests a loan of tokens of a workspace for one request. */
    record BorrowRequest(Member sender, String loanId, String workspace, double tokens, long epoch)
            implements PeerMessage {}

    /**
     * Grants a loan of tokens, possibly fewer than requested or none.
     *
     * @param balanceLeft remaining balance of the lender
     */
    record BorrowGrant(Member sender, String loanId, String workspace, double tokens, double balanceLeft)
            implements PeerMessage {}

    /** Ends a loan: the borrower has spent the tokens or returns those that it did not need. */
    record LoanEnded(Member sender, String workspace, String loanId, double returnedTokens) implements PeerMessage {}

    /** Asks the claimant of an idempotency key for the outcome, which may not be in the log yet. */
    record OutcomeQuestion(Member sender, String scope, String claimId) implements PeerMessage {}

    /** Reports the outcome of a claim; the answer is empty if the claim was released without execution. */
    record OutcomeAnswer(Member sender, String scope, String claimId, Optional<StoredAnswer> answer)
            implements PeerMessage {}

    /** Requests a snapshot of the replicated state. */
    record SnapshotRequest(Member sender, long nextOffset) implements PeerMessage {}

    /** Returns a snapshot of the replicated state. */
    record SnapshotAnswer(Member sender, LoggedSnapshot snapshot) implements PeerMessage {}
}
