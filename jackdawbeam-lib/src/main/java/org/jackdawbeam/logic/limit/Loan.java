package org.jackdawbeam.logic.limit;

/**
 * Tokens lent to a peer. Until the loan ends, they occupy capacity in the lender's bucket.
 *
 * @param tokens number of tokens lent
 * @param expiresAtMillis time after which the borrower can no longer spend the tokens, by the lender's clock
 */
record Loan(double tokens, long expiresAtMillis) {}
