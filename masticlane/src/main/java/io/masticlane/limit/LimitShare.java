package io.masticlane.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * The rate and burst of one limit that this entry host may use: its shares minus what it
 * lends plus what it borrows. Every call first applies the expiries that are due, so that
 * nothing is used after it has expired, however long the process was paused.
 */
final class LimitShare {

	private static final long REVIEW_INTERVAL_NANOS = TimeUnit.HOURS.toNanos(1);

	private final TokenBucket bucket;

	private final Demand demand;

	private final List<Loan> lent = new ArrayList<>();

	private final List<Loan> borrowed = new ArrayList<>();

	private RateAndBurst share = RateAndBurst.ZERO;

	private long shareUntil;

	private long nextExpiry;

	LimitShare(long now) {
		this.bucket = new TokenBucket(now);
		this.demand = new Demand(now);
		this.shareUntil = now;
		this.nextExpiry = now + REVIEW_INTERVAL_NANOS;
	}

	void assign(RateAndBurst amount, long until, long now) {
		applyExpiries(now);
		this.share = (until - now > 0) ? amount : RateAndBurst.ZERO;
		this.shareUntil = until;
		resizeBucket(now);
	}

	boolean tryAcquire(double tokens, long now) {
		this.demand.record(tokens, now);
		return tryAcquireDelayed(tokens, now);
	}

	// Acquires tokens for a request whose demand was recorded by an earlier call.
	boolean tryAcquireDelayed(double tokens, long now) {
		applyExpiries(now);
		return this.bucket.tryAcquire(tokens, now);
	}

	long nanosUntilAvailable(double tokens, long now) {
		applyExpiries(now);
		return this.bucket.nanosUntilAvailable(tokens, now);
	}

	double level(long now) {
		applyExpiries(now);
		return this.bucket.level(now);
	}

	double demand(long now) {
		return this.demand.perSecond(now);
	}

	// Returns the rate and burst that this entry host may use.
	RateAndBurst usable(long now) {
		applyExpiries(now);
		return unlent().plus(total(this.borrowed));
	}

	// Returns what remains of the assigned share after all loans but the given one.
	RateAndBurst unlentExcept(String host, long identifier, long now) {
		applyExpiries(now);
		return this.share.minus(total(this.lent.stream().filter(isLoan(host, identifier).negate()).toList()));
	}

	// Returns the assigned share including what is lent.
	RateAndBurst assigned(long now) {
		applyExpiries(now);
		return this.share;
	}

	boolean isEmpty(long now) {
		applyExpiries(now);
		return this.share.isZero() && this.lent.isEmpty() && this.borrowed.isEmpty();
	}

	long shareUntil() {
		return this.shareUntil;
	}

	List<Loan> borrowed(long now) {
		applyExpiries(now);
		return List.copyOf(this.borrowed);
	}

	Optional<Loan> lent(String host, long identifier, long now) {
		applyExpiries(now);
		return this.lent.stream().filter(isLoan(host, identifier)).findFirst();
	}

	// Lends a fraction of the unlent share. What the replaced loan had beyond the
	// new one stays reserved until it expires, because the borrower may not receive the
	// change.
	double lend(Loan loan, long replacedLoan, long now) {
		applyExpiries(now);
		RateAndBurst before = unlent();
		Optional<Loan> replaced = lent(loan.host(), replacedLoan, now);
		this.lent.removeIf(isLoan(loan.host(), replacedLoan));
		replaced.map((each) -> new Loan(0, each.host(), each.amount().minus(loan.amount()), each.until()))
			.filter((each) -> !each.amount().isZero())
			.ifPresent(this.lent::add);
		this.lent.add(loan);
		double tokens = this.bucket.level(now) * lentFraction(before);
		this.bucket.tryAcquire(tokens, now);
		resizeBucket(now);
		return tokens;
	}

	// Lends tokens from the bucket together with the burst that they occupy.
	void lendTokens(Loan loan, long now) {
		applyExpiries(now);
		this.bucket.tryAcquire(loan.amount().burst(), now);
		this.lent.add(loan);
		resizeBucket(now);
	}

	// Adds a borrowed loan, replacing a previous one if there is one.
	void borrow(Loan loan, long replacedLoan, double tokens, long now) {
		applyExpiries(now);
		this.borrowed.removeIf(isLoan(loan.host(), replacedLoan));
		this.borrowed.add(loan);
		resizeBucket(now);
		this.bucket.add(Math.min(tokens, loan.amount().burst()), now);
	}

	private double lentFraction(RateAndBurst unlentBefore) {
		double added = unlentBefore.burst() - unlent().burst();
		double usable = unlentBefore.plus(total(this.borrowed)).burst();
		return (added > 0) ? Math.min(1, added / usable) : 0;
	}

	private RateAndBurst unlent() {
		return this.share.minus(total(this.lent));
	}

	private void applyExpiries(long now) {
		while (now - this.nextExpiry >= 0) {
			long at = this.nextExpiry;
			this.lent.removeIf((loan) -> loan.until() - at <= 0);
			this.borrowed.removeIf((loan) -> loan.until() - at <= 0);
			if (this.shareUntil - at <= 0) {
				this.share = RateAndBurst.ZERO;
			}
			resizeBucket(at);
		}
	}

	private void resizeBucket(long now) {
		RateAndBurst usable = unlent().plus(total(this.borrowed));
		this.bucket.resize(usable.rate(), usable.burst(), now);
		LongStream ends = Stream.of(this.lent, this.borrowed).flatMap(List::stream).mapToLong(Loan::until);
		LongStream shareEnd = this.share.isZero() ? LongStream.empty() : LongStream.of(this.shareUntil);
		this.nextExpiry = now
				+ LongStream.concat(ends, shareEnd).map((end) -> end - now).min().orElse(REVIEW_INTERVAL_NANOS);
	}

	private static Predicate<Loan> isLoan(String host, long identifier) {
		return (loan) -> loan.identifier() == identifier && identifier != 0 && loan.host().equals(host);
	}

	private static RateAndBurst total(List<Loan> loans) {
		return loans.stream().map(Loan::amount).reduce(RateAndBurst.ZERO, RateAndBurst::plus);
	}

}
