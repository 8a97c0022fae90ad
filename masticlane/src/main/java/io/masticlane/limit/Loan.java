package io.masticlane.limit;

/**
 * A part of a share that one entry host lends to another for a term.
 *
 * @param identifier the identifier of the loan
 * @param host the entry host at the other end
 * @param amount the lent rate and burst
 * @param until the end of the loan on the own monotonic clock in nanoseconds
 */
record Loan(long identifier, String host, RateAndBurst amount, long until) {
}
