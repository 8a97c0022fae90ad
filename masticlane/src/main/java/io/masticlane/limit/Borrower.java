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
 * Borrows rate and burst of one limit ahead of demand: requests loans from the closest
 * entry hosts first, one at a time, and renews loans before they expire while the demand
 * needs them.
 */
final class Borrower {

	/**
	 * The maximum term of a loan, after which everything lent has returned to the lender.
	 */
	static final long TERM_MILLIS = 2_000;

	private static final long TERM_NANOS = TimeUnit.MILLISECONDS.toNanos(TERM_MILLIS);

	private static final long REPLY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final long REFUSAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long TIMEOUT_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final long TOKEN_LOAN_TERM_MILLIS = 250;

	private static final long TOKEN_REFUSAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final long TOKEN_REQUEST_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final double TOKEN_REQUEST_DEMAND_SECONDS = 0.05;

	private static final double RATE_HEADROOM_FACTOR = 2;

	private static final double MINIMUM_BURST_TOKENS = 2;

	private static final double BURST_STANDARD_DEVIATIONS = 3;

	private static final double MINIMUM_DEMAND_PER_SECOND = 0.05;

	private final String limit;

	private final LimitShare share;

	private final LongSupplier loanIdentifiers;

	private final LoanMessageSender sender;

	private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();

	private final Map<String, Long> backoffUntil = new HashMap<>();

	private final Map<String, Long> tokenBackoffUntil = new HashMap<>();

	private final Set<Long> tokenLoans = new HashSet<>();

	private long tokensNeededUntil;

	private long revision;

	private List<String> lenders = List.of();

	Borrower(String limit, LimitShare share, LongSupplier loanIdentifiers, LoanMessageSender sender) {
		this.limit = limit;
		this.share = share;
		this.loanIdentifiers = loanIdentifiers;
		this.sender = sender;
	}

	void configure(long revision, List<String> lenders) {
		this.revision = revision;
		this.lenders = lenders;
		this.pendingRequests.clear();
	}

	// Requests the tokens that a queued request needs, from one entry host at a time.
	void requestTokens(long now) {
		this.tokensNeededUntil = now + TOKEN_REQUEST_PERIOD_NANOS;
		requestTokensFromNextLender(now);
	}

	void tick(long now) {
		this.pendingRequests.values().removeIf((pending) -> now - pending.sentAt() > TERM_NANOS);
		this.tokenLoans.retainAll(this.share.borrowed(now).stream().map(Loan::identifier).toList());
		rateLoans(now).filter((loan) -> isRenewalDue(loan, now)).forEach((loan) -> renewIfNeeded(loan, now));
		if (isMoreNeeded(this.share.usable(now), now)
				&& this.pendingRequests.values().stream().noneMatch((pending) -> isPendingNewLoan(pending, now))) {
			nextLender(now).ifPresent((lender) -> requestLoan(lender, 0, this.share.usable(now), now));
		}
	}

	void receive(Message.LoanGrant grant, long now) {
		PendingRequest pending = this.pendingRequests.remove(grant.loan());
		if (pending == null || grant.revision() != this.revision) {
			return;
		}
		if (pending.forTokens()) {
			receiveTokens(pending, grant, now);
			return;
		}
		RateAndBurst amount = new RateAndBurst(grant.rate(), grant.burst());
		long termNanos = Math.min(TERM_NANOS, TimeUnit.MILLISECONDS.toNanos(grant.termMillis()));
		long until = pending.sentAt() + termNanos;
		if (amount.isZero()) {
			this.backoffUntil.put(pending.lender(), now + REFUSAL_BACKOFF_NANOS);
		}
		else if (until - now > 0) {
			this.share.borrow(new Loan(grant.loan(), pending.lender(), amount, until), pending.replacedLoan(),
					grant.tokens(), now);
		}
		tick(now);
	}

	boolean hasPendingRequest(long now) {
		return this.pendingRequests.values()
			.stream()
			.anyMatch((pending) -> now - pending.sentAt() < REPLY_TIMEOUT_NANOS);
	}

	private void receiveTokens(PendingRequest pending, Message.LoanGrant grant, long now) {
		long until = pending.sentAt() + TimeUnit.MILLISECONDS.toNanos(TOKEN_LOAN_TERM_MILLIS);
		if (grant.tokens() <= 0) {
			this.tokenBackoffUntil.put(pending.lender(), now + TOKEN_REFUSAL_BACKOFF_NANOS);
		}
		else if (until - now > 0) {
			this.tokenLoans.add(grant.loan());
			this.share.borrow(new Loan(grant.loan(), pending.lender(), new RateAndBurst(0, grant.burst()), until), 0,
					grant.tokens(), now);
		}
		if (this.share.level(now) < 1 && this.tokensNeededUntil - now > 0) {
			requestTokensFromNextLender(now);
		}
	}

	private void requestTokensFromNextLender(long now) {
		boolean alreadyRequested = this.pendingRequests.values()
			.stream()
			.anyMatch((pending) -> pending.forTokens() && now - pending.sentAt() < REPLY_TIMEOUT_NANOS);
		if (alreadyRequested) {
			return;
		}
		this.lenders.stream()
			.filter((host) -> isAvailable(host, now) && now - this.tokenBackoffUntil.getOrDefault(host, now) >= 0)
			.findFirst()
			.ifPresent((lender) -> requestTokensFrom(lender, now));
	}

	private void requestTokensFrom(String lender, long now) {
		long loan = this.loanIdentifiers.getAsLong();
		double tokens = Math.max(1, this.share.demand(now) * TOKEN_REQUEST_DEMAND_SECONDS);
		this.pendingRequests.put(loan, new PendingRequest(lender, 0, now, true));
		this.sender.send(lender, new Message.LoanRequest(loan, this.limit, this.revision, 0, this.share.demand(now), 0,
				0, tokens, TOKEN_LOAN_TERM_MILLIS));
	}

	private Stream<Loan> rateLoans(long now) {
		return this.share.borrowed(now).stream().filter((loan) -> !this.tokenLoans.contains(loan.identifier()));
	}

	private void renewIfNeeded(Loan loan, long now) {
		RateAndBurst remaining = this.share.usable(now).minus(loan.amount());
		if (isMoreNeeded(remaining, now)) {
			requestLoan(loan.host(), loan.identifier(), remaining, now);
		}
	}

	private boolean isRenewalDue(Loan loan, long now) {
		boolean alreadyRequested = this.pendingRequests.values()
			.stream()
			.anyMatch((pending) -> pending.replacedLoan() == loan.identifier()
					&& now - pending.sentAt() < REPLY_TIMEOUT_NANOS);
		return loan.until() - now < TERM_NANOS / 2 && !alreadyRequested && isAvailable(loan.host(), now);
	}

	private boolean isPendingNewLoan(PendingRequest pending, long now) {
		return pending.replacedLoan() == 0 && !pending.forTokens() && now - pending.sentAt() < REPLY_TIMEOUT_NANOS;
	}

	private boolean isMoreNeeded(RateAndBurst amount, long now) {
		double demand = this.share.demand(now);
		boolean rateNeeded = amount.rate() < RATE_HEADROOM_FACTOR * demand;
		boolean burstNeeded = amount.burst() < MINIMUM_BURST_TOKENS + BURST_STANDARD_DEVIATIONS * Math.sqrt(demand);
		return demand > MINIMUM_DEMAND_PER_SECOND && (rateNeeded || burstNeeded);
	}

	private Optional<String> nextLender(long now) {
		List<String> currentLenders = rateLoans(now).map(Loan::host).toList();
		return this.lenders.stream()
			.filter((host) -> !currentLenders.contains(host) && isAvailable(host, now))
			.findFirst();
	}

	private boolean isAvailable(String host, long now) {
		return now - this.backoffUntil.getOrDefault(host, now) >= 0;
	}

	private void requestLoan(String lender, long replacedLoan, RateAndBurst remaining, long now) {
		long loan = this.loanIdentifiers.getAsLong();
		if (hasUnansweredRequest(lender, now)) {
			this.backoffUntil.put(lender, now + TIMEOUT_BACKOFF_NANOS);
		}
		this.pendingRequests.put(loan, new PendingRequest(lender, replacedLoan, now, false));
		this.sender.send(lender, new Message.LoanRequest(loan, this.limit, this.revision, replacedLoan,
				this.share.demand(now), remaining.rate(), remaining.burst(), 0, TERM_MILLIS));
	}

	private boolean hasUnansweredRequest(String lender, long now) {
		return this.pendingRequests.values()
			.stream()
			.anyMatch((pending) -> pending.lender().equals(lender) && now - pending.sentAt() >= REPLY_TIMEOUT_NANOS);
	}

	private record PendingRequest(String lender, long replacedLoan, long sentAt, boolean forTokens) {
	}

}
