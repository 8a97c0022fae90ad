package io.masticlane.limit;

import java.util.concurrent.TimeUnit;

import io.masticlane.message.Message;

/**
 * Decides how much of a share is lent: so much that both ends have the same part of their
 * rate and burst in demand, while the lender keeps a floor.
 */
final class Lending {

	/**
	 * How much later than the borrower the lender ends a loan, for clocks that drift.
	 */
	static final double CLOCK_MARGIN = 1.01;

	private static final long SHORTEST_TERM_MILLIS = 200;

	private static final double FLOOR = 0.05;

	private static final double ONE_REQUEST = 1.001;

	private static final double LEAST_TOKENS = 0.2;

	private static final double LEAST_DEMAND = 0.02;

	private Lending() {
	}

	static Message.LoanGrant answer(LimitShare share, String host, Message.LoanRequest request, long now) {
		long termMillis = Math.min(request.termMillis(), longestTermMillis(share, now));
		if (termMillis < SHORTEST_TERM_MILLIS || share.lent(host, request.loan(), now).isPresent()) {
			return refusal(request);
		}
		if (request.tokens() > 0) {
			return tokens(share, host, request, now);
		}
		Amount former = share.lent(host, request.former(), now).map(Loan::amount).orElse(Amount.ZERO);
		Amount lendable = share.unlentBesides(host, request.former(), now).minus(floor(share.held(now)));
		Amount offer = equal(share, request, former, now).atMost(lendable);
		if (offer.nothing()) {
			return refusal(request);
		}
		long until = now + (long) (TimeUnit.MILLISECONDS.toNanos(termMillis) * CLOCK_MARGIN);
		double tokens = share.lend(new Loan(request.loan(), host, offer, until), request.former(), now);
		return new Message.LoanGrant(request.loan(), request.limit(), request.revision(), offer.rate(), offer.burst(),
				tokens, termMillis);
	}

	static Message.LoanGrant refusal(Message.LoanRequest request) {
		return new Message.LoanGrant(request.loan(), request.limit(), request.revision(), 0, 0, 0, 0);
	}

	private static Message.LoanGrant tokens(LimitShare share, String host, Message.LoanRequest request, long now) {
		double burst = share.unlentBesides(host, request.former(), now).burst();
		double spare = Math.min(share.level(now), burst);
		double lent = Math.min(request.tokens(), Math.max(Math.min(1, spare), spare / 2));
		if (lent < LEAST_TOKENS) {
			return refusal(request);
		}
		long until = now + (long) (TimeUnit.MILLISECONDS.toNanos(request.termMillis()) * CLOCK_MARGIN);
		share.lendTokens(new Loan(request.loan(), host, new Amount(0, lent), until), now);
		return new Message.LoanGrant(request.loan(), request.limit(), request.revision(), 0, lent, lent,
				request.termMillis());
	}

	private static Amount equal(LimitShare share, Message.LoanRequest request, Amount former, long now) {
		Amount held = share.held(now);
		double least = Math.max(LEAST_DEMAND * held.rate(), Double.MIN_NORMAL);
		double ownDemand = Math.max(share.demand(now), least);
		double otherDemand = Math.max(request.demand(), least);
		Amount own = share.usable(now).plus(former).times(otherDemand);
		Amount others = new Amount(request.rate(), request.burst()).times(ownDemand);
		return own.minus(others).times(1 / (ownDemand + otherDemand));
	}

	private static Amount floor(Amount held) {
		Amount part = held.times(FLOOR);
		return part.atLeast(new Amount(0, Math.min(held.burst(), ONE_REQUEST)));
	}

	private static long longestTermMillis(LimitShare share, long now) {
		return (long) (TimeUnit.NANOSECONDS.toMillis(share.shareUntil() - now) / CLOCK_MARGIN);
	}

}
