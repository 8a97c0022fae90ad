package io.masticlane.limit;

import java.util.concurrent.TimeUnit;

import io.masticlane.message.Message;

/**
 * Decides how much of a share is lent: the loan divides rate and burst between lender and
 * borrower in proportion to their demand, while the lender retains a minimum.
 */
final class LendingPolicy {

	/**
	 * The factor by which a loan's term is longer at the lender than at the borrower, so
	 * that the lender never ends it first when the clocks drift.
	 */
	static final double CLOCK_DRIFT_FACTOR = 1.01;

	private static final long MINIMUM_TERM_MILLIS = 200;

	private static final double MINIMUM_RETAINED_FRACTION = 0.05;

	// Enough tokens for one request.
	private static final double MINIMUM_RETAINED_TOKENS = 1.001;

	private static final double MINIMUM_LENT_TOKENS = 0.2;

	private static final double MINIMUM_DEMAND_FRACTION = 0.02;

	private LendingPolicy() {
	}

	static Message.LoanGrant reply(LimitShare share, String borrower, Message.LoanRequest request, long now) {
		long termMillis = Math.min(request.termMillis(), maximumTermMillis(share, now));
		if (termMillis < MINIMUM_TERM_MILLIS || share.lent(borrower, request.loan(), now).isPresent()) {
			return refusal(request);
		}
		if (request.tokens() > 0) {
			return grantTokens(share, borrower, request, now);
		}
		RateAndBurst replaced = share.lent(borrower, request.former(), now).map(Loan::amount).orElse(RateAndBurst.ZERO);
		RateAndBurst lendable = share.unlentExcept(borrower, request.former(), now)
			.minus(retainedMinimum(share.assigned(now)));
		RateAndBurst offer = proportionalOffer(share, request, replaced, now).min(lendable);
		if (offer.isZero()) {
			return refusal(request);
		}
		long until = now + (long) (TimeUnit.MILLISECONDS.toNanos(termMillis) * CLOCK_DRIFT_FACTOR);
		double tokens = share.lend(new Loan(request.loan(), borrower, offer, until), request.former(), now);
		return new Message.LoanGrant(request.loan(), request.limit(), request.revision(), offer.rate(), offer.burst(),
				tokens, termMillis);
	}

	static Message.LoanGrant refusal(Message.LoanRequest request) {
		return new Message.LoanGrant(request.loan(), request.limit(), request.revision(), 0, 0, 0, 0);
	}

	private static Message.LoanGrant grantTokens(LimitShare share, String borrower, Message.LoanRequest request,
			long now) {
		double burst = share.unlentExcept(borrower, request.former(), now).burst();
		double spareTokens = Math.min(share.level(now), burst);
		double lent = Math.min(request.tokens(), Math.max(Math.min(1, spareTokens), spareTokens / 2));
		if (lent < MINIMUM_LENT_TOKENS) {
			return refusal(request);
		}
		long until = now + (long) (TimeUnit.MILLISECONDS.toNanos(request.termMillis()) * CLOCK_DRIFT_FACTOR);
		share.lendTokens(new Loan(request.loan(), borrower, new RateAndBurst(0, lent), until), now);
		return new Message.LoanGrant(request.loan(), request.limit(), request.revision(), 0, lent, lent,
				request.termMillis());
	}

	private static RateAndBurst proportionalOffer(LimitShare share, Message.LoanRequest request, RateAndBurst replaced,
			long now) {
		RateAndBurst assigned = share.assigned(now);
		double minimumDemand = Math.max(MINIMUM_DEMAND_FRACTION * assigned.rate(), Double.MIN_NORMAL);
		double localDemand = Math.max(share.demand(now), minimumDemand);
		double borrowerDemand = Math.max(request.demand(), minimumDemand);
		RateAndBurst localWeighted = share.usable(now).plus(replaced).times(borrowerDemand);
		RateAndBurst borrowerWeighted = new RateAndBurst(request.rate(), request.burst()).times(localDemand);
		return localWeighted.minus(borrowerWeighted).times(1 / (localDemand + borrowerDemand));
	}

	private static RateAndBurst retainedMinimum(RateAndBurst assigned) {
		RateAndBurst minimum = assigned.times(MINIMUM_RETAINED_FRACTION);
		return minimum.max(new RateAndBurst(0, Math.min(assigned.burst(), MINIMUM_RETAINED_TOKENS)));
	}

	private static long maximumTermMillis(LimitShare share, long now) {
		return (long) (TimeUnit.NANOSECONDS.toMillis(share.shareUntil() - now) / CLOCK_DRIFT_FACTOR);
	}

}
