package org.jackdawbeam.logic.limit;

import org.jackdawbeam.model.bundle.WorkspaceSpecification;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * This entry's share of the token bucket of a workspace.
 *
 * @param balance tokens available for spending
 * @param accruedAtMillis time up to which tokens have been accrued
 * @param loans tokens lent to peers, by loan id
 */
record Bucket(double balance, long accruedAtMillis, PMap<String, Loan> loans) {
    private static final double MILLIS_PER_SECOND = 1000.0;

    static Bucket empty(long nowMillis) {
        return new Bucket(0, nowMillis, HashTreePMap.empty());
    }

    /**
     * Returns the bucket after accrual up to now. The balance is limited to this entry's share of the burst minus the
     * tokens on loan at the last accrual. The capacity freed by an expired loan is available only to tokens that accrue
     * from now on.
     */
    Bucket accrue(WorkspaceSpecification workspace, double share, long nowMillis) {
        long elapsed = Math.max(0, nowMillis - accruedAtMillis);
        double accrued = share * workspace.tokensPerSecond() * elapsed / MILLIS_PER_SECOND;
        double room = Math.max(0, share * workspace.burstTokens() - lent(loans));
        return new Bucket(Math.min(balance + accrued, room), nowMillis, withoutExpired(nowMillis));
    }

    Bucket spend(double tokens) {
        return new Bucket(balance - tokens, accruedAtMillis, loans);
    }

    Bucket credit(double tokens) {
        return new Bucket(balance + tokens, accruedAtMillis, loans);
    }

    Bucket lend(String loanId, double tokens, long expiresAtMillis) {
        PMap<String, Loan> grown = loans.plus(loanId, new Loan(tokens, expiresAtMillis));
        return new Bucket(balance - tokens, accruedAtMillis, grown);
    }

    Bucket endLoan(String loanId) {
        return new Bucket(balance, accruedAtMillis, loans.minus(loanId));
    }

    private PMap<String, Loan> withoutExpired(long nowMillis) {
        PMap<String, Loan> open = loans;
        for (var loan : loans.entrySet()) {
            open = loan.getValue().expiresAtMillis() <= nowMillis ? open.minus(loan.getKey()) : open;
        }
        return open;
    }

    private static double lent(PMap<String, Loan> loans) {
        return loans.values().stream().mapToDouble(Loan::tokens).sum();
    }
}
