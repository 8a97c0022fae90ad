package io.masticlane.limit;

/**
 * A fraction of a share that one entry host lends to another for a limited time.
 *
 * @param identifier the identifier of the loan
 * @param host the name of the other entry host, borrower or lender
 * @param amount the lent rate and burst
 * @param until the expiry on the local monotonic clock in nanoseconds
 */
record Loan(long identifier, String host, RateAndBurst amount, long until) {
}
