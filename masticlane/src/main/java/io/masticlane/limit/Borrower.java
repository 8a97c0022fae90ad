package io.masticlane.limit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import io.masticlane.message.Message;

/**
 * Borrows for one limit ahead of demand: asks the nearest entry hosts first, one at a
 * time, and renews loans before their end while they are needed.
 */
final class Borrower {

	/**
	 * The longest term of a loan, after which everything that was lent is back.
	 */
	static final long TERM_MILLIS = 2_000;

	private static final long TERM_NANOS = TimeUnit.MILLISECONDS.toNanos(TERM_MILLIS);

	private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final long REFUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final long TOKENS_TERM_MILLIS = 250;

	private static final long TOKENS_REFUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final long TOKENS_WANTED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final double TOKENS_SECONDS = 0.05;

	private static final double RATE_HEADROOM = 2;

	private static final double LEAST_BURST = 2;

	private static final double BURST_DEVIATIONS = 3;

	private static final double LEAST_DEMAND = 0.05;

	private final String limit;

	private final LimitShare share;

	private final LongSupplier identifiers;

	private final LoanMessageSender sender;

	private final Map<Long, Ask> asks = new HashMap<>();

	private final Map<String, Long> passedOverUntil = new HashMap<>();

	private final Map<String, Long> withoutTokensUntil = new HashMap<>();

	private final Set<Long> tokenLoans = new HashSet<>();

	private long tokensWantedUntil;

	private long revision;

	private List<String> lenders = List.of();

	Borrower(String limit, LimitShare share, LongSupplier identifiers, LoanMessageSender sender) {
		this.limit = limit;
		this.share = share;
		this.identifiers = identifiers;
		this.sender = sender;
	}

	void configure(long revision, List<String> lenders) {
		this.revision = revision;
		this.lenders = lenders;
		this.asks.clear();
	}

	// Asks for the tokens that a waiting request lacks, one entry host after another.
	void requestTokens(long now) {
		this.tokensWantedUntil = now + TOKENS_WANTED_NANOS;
		askForTokens(now);
	}

	void tick(long now) {
		this.asks.values().removeIf((ask) -> now - ask.askedAt() > TERM_NANOS);
		this.tokenLoans.retainAll(this.share.borrowed(now).stream().map(Loan::identifier).toList());
		standing(now).filter((loan) -> due(loan, now)).forEach((loan) -> renew(loan, now));
		if (needed(this.share.usable(now), now) && this.asks.values().stream().noneMatch((ask) -> open(ask, now))) {
			nextLender(now).ifPresent((lender) -> ask(lender, 0, this.share.usable(now), now));
		}
	}

	void receive(Message.LoanGrant grant, long now) {
		Ask ask = this.asks.remove(grant.loan());
		if (ask == null || grant.revision() != this.revision) {
			return;
		}
		if (ask.tokens()) {
			tokensHeard(ask, grant, now);
			return;
		}
		RateAndBurst amount = new RateAndBurst(grant.rate(), grant.burst());
		long termNanos = Math.min(TERM_NANOS, TimeUnit.MILLISECONDS.toNanos(grant.termMillis()));
		long until = ask.askedAt() + termNanos;
		if (amount.isZero()) {
			this.passedOverUntil.put(ask.lender(), now + REFUSED_NANOS);
		}
		else if (until - now > 0) {
			this.share.borrow(new Loan(grant.loan(), ask.lender(), amount, until), ask.former(), grant.tokens(), now);
		}
		tick(now);
	}

	boolean hasPendingRequest(long now) {
		return this.asks.values().stream().anyMatch((ask) -> now - ask.askedAt() < ANSWER_NANOS);
	}

	private void tokensHeard(Ask ask, Message.LoanGrant grant, long now) {
		long until = ask.askedAt() + TimeUnit.MILLISECONDS.toNanos(TOKENS_TERM_MILLIS);
		if (grant.tokens() <= 0) {
			this.withoutTokensUntil.put(ask.lender(), now + TOKENS_REFUSED_NANOS);
		}
		else if (until - now > 0) {
			this.tokenLoans.add(grant.loan());
			this.share.borrow(new Loan(grant.loan(), ask.lender(), new RateAndBurst(0, grant.burst()), until), 0,
					grant.tokens(), now);
		}
		if (this.share.level(now) < 1 && this.tokensWantedUntil - now > 0) {
			askForTokens(now);
		}
	}

	private void askForTokens(long now) {
		boolean asked = this.asks.values()
			.stream()
			.anyMatch((ask) -> ask.tokens() && now - ask.askedAt() < ANSWER_NANOS);
		if (asked) {
			return;
		}
		this.lenders.stream()
			.filter((host) -> available(host, now) && now - this.withoutTokensUntil.getOrDefault(host, now) >= 0)
			.findFirst()
			.ifPresent((lender) -> askForTokens(lender, now));
	}

	private void askForTokens(String lender, long now) {
		long loan = this.identifiers.getAsLong();
		double tokens = Math.max(1, this.share.demand(now) * TOKENS_SECONDS);
		this.asks.put(loan, new Ask(lender, 0, now, true));
		this.sender.send(lender, new Message.LoanRequest(loan, this.limit, this.revision, 0, this.share.demand(now), 0,
				0, tokens, TOKENS_TERM_MILLIS));
	}

	private Stream<Loan> standing(long now) {
		return this.share.borrowed(now).stream().filter((loan) -> !this.tokenLoans.contains(loan.identifier()));
	}

	private void renew(Loan loan, long now) {
		RateAndBurst besides = this.share.usable(now).minus(loan.amount());
		if (needed(besides, now)) {
			ask(loan.host(), loan.identifier(), besides, now);
		}
	}

	private boolean due(Loan loan, long now) {
		boolean asked = this.asks.values()
			.stream()
			.anyMatch((ask) -> ask.former() == loan.identifier() && now - ask.askedAt() < ANSWER_NANOS);
		return loan.until() - now < TERM_NANOS / 2 && !asked && available(loan.host(), now);
	}

	private boolean open(Ask ask, long now) {
		return ask.former() == 0 && !ask.tokens() && now - ask.askedAt() < ANSWER_NANOS;
	}

	private boolean needed(RateAndBurst amount, long now) {
		double demand = this.share.demand(now);
		boolean rateNeeded = amount.rate() < RATE_HEADROOM * demand;
		boolean burstNeeded = amount.burst() < LEAST_BURST + BURST_DEVIATIONS * Math.sqrt(demand);
		return demand > LEAST_DEMAND && (rateNeeded || burstNeeded);
	}

	private Optional<String> nextLender(long now) {
		List<String> present = standing(now).map(Loan::host).toList();
		return this.lenders.stream().filter((host) -> !present.contains(host) && available(host, now)).findFirst();
	}

	private boolean available(String host, long now) {
		return now - this.passedOverUntil.getOrDefault(host, now) >= 0;
	}

	private void ask(String lender, long former, RateAndBurst besides, long now) {
		long loan = this.identifiers.getAsLong();
		if (silent(lender, now)) {
			this.passedOverUntil.put(lender, now + SILENT_NANOS);
		}
		this.asks.put(loan, new Ask(lender, former, now, false));
		this.sender.send(lender, new Message.LoanRequest(loan, this.limit, this.revision, former,
				this.share.demand(now), besides.rate(), besides.burst(), 0, TERM_MILLIS));
	}

	private boolean silent(String lender, long now) {
		return this.asks.values()
			.stream()
			.anyMatch((ask) -> ask.lender().equals(lender) && now - ask.askedAt() >= ANSWER_NANOS);
	}

	private record Ask(String lender, long former, long askedAt, boolean tokens) {
	}

}
