package org.jackdawbeam.logic.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jackdawbeam.model.bundle.WorkspaceSpecification;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * This entry's share of all token buckets. Over any interval, all entries together spend at most the burst of a
 * workspace plus its rate times the interval: the shares add up to one, new members start with empty buckets, and lent
 * tokens occupy capacity in the bucket of the lender until they are spent or the loan expires.
 *
 * @param buckets buckets by workspace
 * @param share fraction of rate and burst that this entry may use, between zero and one
 */
public record Limits(PMap<String, Bucket> buckets, double share) {

    /** Returns limits with a share of zero. */
    public static Limits none() {
        return new Limits(HashTreePMap.empty(), 0);
    }

    /** Changes the share; tokens up to now accrue at the old share. */
    public Limits withShare(List<WorkspaceSpecification> workspaces, double newShare, long nowMillis) {
        Limits accrued = this;
        for (WorkspaceSpecification workspace : workspaces) {
            accrued = accrued.accrue(workspace, nowMillis);
        }
        return new Limits(accrued.buckets, newShare);
    }

    /** Accrues the tokens of one workspace up to now. */
    public Limits accrue(WorkspaceSpecification workspace, long nowMillis) {
        return with(workspace.name(), bucket(workspace.name(), nowMillis).accrue(workspace, share, nowMillis));
    }

    /** Returns the tokens available for spending at the last accrual. */
    public double balance(String workspace) {
        Bucket bucket = buckets.get(workspace);
        return bucket == null ? 0 : Math.max(0, bucket.balance());
    }

    /** Spends tokens; the balance must cover them. */
    public Limits spend(String workspace, double tokens) {
        return with(workspace, buckets.get(workspace).spend(tokens));
    }

    /** Refunds reserved tokens that were not used; the balance stays within this entry's share of the burst. */
    public Limits refund(WorkspaceSpecification workspace, double tokens, long nowMillis) {
        Bucket credited = bucket(workspace.name(), nowMillis).credit(tokens);
        return with(workspace.name(), credited.accrue(workspace, share, nowMillis));
    }

    /** Lends tokens to a peer; the balance must cover them. */
    public Limits lend(String workspace, String loanId, double tokens, long expiresAtMillis) {
        return with(workspace, buckets.get(workspace).lend(loanId, tokens, expiresAtMillis));
    }

    /** Returns whether the loan is open. */
    public boolean hasLoan(String workspace, String loanId) {
        Bucket bucket = buckets.get(workspace);
        return bucket != null && bucket.loans().containsKey(loanId);
    }

    /** Ends a loan and credits the tokens that the borrower returned. Has no effect if the loan is not open. */
    public Limits endLoan(WorkspaceSpecification workspace, String loanId, double returned, long nowMillis) {
        if (!hasLoan(workspace.name(), loanId)) {
            return this;
        }
        Bucket bucket = buckets.get(workspace.name()).accrue(workspace, share, nowMillis);
        if (!bucket.loans().containsKey(loanId)) {
            return with(workspace.name(), bucket);
        }
        double credit = Math.min(returned, bucket.loans().get(loanId).tokens());
        Bucket ended = bucket.endLoan(loanId).credit(credit);
        return with(workspace.name(), ended.accrue(workspace, share, nowMillis));
    }

    /** Returns the time in which the whole fleet accrues the missing tokens, in milliseconds. */
    public static long millisUntil(WorkspaceSpecification workspace, double missing) {
        double millis = missing / workspace.tokensPerSecond() * 1000.0;
        return Math.max(1, (long) Math.ceil(millis));
    }

    /** Returns the balances of all workspaces, as reported to peers. */
    public Map<String, Double> balances() {
        Map<String, Double> balances = new HashMap<>();
        buckets.forEach((workspace, bucket) -> balances.put(workspace, Math.max(0, bucket.balance())));
        return Map.copyOf(balances);
    }

    private Bucket bucket(String workspace, long nowMillis) {
        Bucket bucket = buckets.get(workspace);
        return bucket == null ? Bucket.empty(nowMillis) : bucket;
    }

    private Limits with(String workspace, Bucket bucket) {
        return new Limits(buckets.plus(workspace, bucket), share);
    }
}
