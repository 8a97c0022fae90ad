package io.masticlane.limit;

import java.util.concurrent.TimeUnit;

import io.masticlane.message.Message;

/**
 * Decides how much of a share is lent: so much that both ends have the same part of their
 * rate and burst in demand, while the lender keeps a floor.
 */
final class LendingPolicy {

	/**
	 * How much later than the borrower the lender ends a loan, for clocks that drift.
	 */
	static final double CLOCK_MARGIN = 1.01;

	private static final long SHORTEST_TERM_MILLIS = 200;

	private static final double FLOOR = 0.05;

	private static final double ONE_REQUEST = 1.001;

	private static final double LEAST_TOKENS = 0.2;

	private static final double LEAST_DEMAND = 0.02;

	private LendingPolicy() {
	}

	static Message.LoanGrant reply(LimitShare share, String host, Message.LoanRequest request, long now) {
		long termMillis = Math.min(request.termMillis(), longestTermMillis(share, now));
		if (termMillis < SHORTEST_TERM_MILLIS || share.lent(host, request.loan(), now).isPresent()) {
			return refusal(request);
		}
		if (request.tokens() > 0) {
			return tokens(share, host, request, now);
		}
		RateAndBurst former = share.lent(host, request.former(), now).map(Loan::amount).orElse(RateAndBurst.ZERO);
		RateAndBurst lendable = share.unlentExcept(host, request.former(), now).minus(floor(share.assigned(now)));
		RateAndBurst offer = equal(share, request, former, now).min(lendable);
		if (offer.isZero()) {
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
		double burst = share.unlentExcept(host, request.former(), now).burst();
		double spare = Math.min(share.level(now), burst);
		double lent = Math.min(request.tokens(), Math.max(Math.min(1, spare), spare / 2));
		if (lent < LEAST_TOKENS) {
			return refusal(request);
		}
		long until = now + (long) (TimeUnit.MILLISECONDS.toNanos(request.termMillis()) * CLOCK_MARGIN);
		share.lendTokens(new Loan(request.loan(), host, new RateAndBurst(0, lent), until), now);
		return new Message.LoanGrant(request.loan(), request.limit(), request.revision(), 0, lent, lent,
				request.termMillis());
	}

	private static RateAndBurst equal(LimitShare share, Message.LoanRequest request, RateAndBurst former, long now) {
		RateAndBurst held = share.assigned(now);
		double least = Math.max(LEAST_DEMAND * held.rate(), Double.MIN_NORMAL);
		double ownDemand = Math.max(share.demand(now), least);
		double otherDemand = Math.max(request.demand(), least);
		RateAndBurst own = share.usable(now).plus(former).times(otherDemand);
		RateAndBurst others = new RateAndBurst(request.rate(), request.burst()).times(ownDemand);
		return own.minus(others).times(1 / (ownDemand + otherDemand));
	}

	private static RateAndBurst floor(RateAndBurst held) {
		RateAndBurst part = held.times(FLOOR);
		return part.max(new RateAndBurst(0, Math.min(held.burst(), ONE_REQUEST)));
	}

	private static long longestTermMillis(LimitShare share, long now) {
		return (long) (TimeUnit.NANOSECONDS.toMillis(share.shareUntil() - now) / CLOCK_MARGIN);
	}

}
