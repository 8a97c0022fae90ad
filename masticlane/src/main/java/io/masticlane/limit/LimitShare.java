package io.masticlane.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * What this entry host may use of one limit: its shares, without what it lends, with what
 * it borrows. Every call first brings the account up to the present, so that nothing is
 * used after its end, however long the process was paused.
 */
final class LimitShare {

	private static final long REVIEW_NANOS = TimeUnit.HOURS.toNanos(1);

	private final TokenBucket bucket;

	private final Demand demand;

	private final List<Loan> lent = new ArrayList<>();

	private final List<Loan> borrowed = new ArrayList<>();

	private RateAndBurst share = RateAndBurst.ZERO;

	private long shareUntil;

	private long nextChange;

	LimitShare(long now) {
		this.bucket = new TokenBucket(now);
		this.demand = new Demand(now);
		this.shareUntil = now;
		this.nextChange = now + REVIEW_NANOS;
	}

	void assign(RateAndBurst amount, long until, long now) {
		advance(now);
		this.share = (until - now > 0) ? amount : RateAndBurst.ZERO;
		this.shareUntil = until;
		revise(now);
	}

	boolean tryAcquire(double tokens, long now) {
		this.demand.record(tokens, now);
		return tryAcquireDelayed(tokens, now);
	}

	// Takes tokens for a request that was counted as demand before.
	boolean tryAcquireDelayed(double tokens, long now) {
		advance(now);
		return this.bucket.tryAcquire(tokens, now);
	}

	long nanosUntilAvailable(double tokens, long now) {
		advance(now);
		return this.bucket.nanosUntilAvailable(tokens, now);
	}

	double level(long now) {
		advance(now);
		return this.bucket.level(now);
	}

	double demand(long now) {
		return this.demand.perSecond(now);
	}

	// Returns the rate and burst in use.
	RateAndBurst usable(long now) {
		advance(now);
		return unlent().plus(total(this.borrowed));
	}

	// Returns the part of the own share that is not lent besides one loan.
	RateAndBurst unlentExcept(String host, long identifier, long now) {
		advance(now);
		return this.share.minus(total(this.lent.stream().filter(same(host, identifier).negate()).toList()));
	}

	// Returns the own share with what is lent of it.
	RateAndBurst assigned(long now) {
		advance(now);
		return this.share;
	}

	boolean isEmpty(long now) {
		advance(now);
		return this.share.isZero() && this.lent.isEmpty() && this.borrowed.isEmpty();
	}

	long shareUntil() {
		return this.shareUntil;
	}

	List<Loan> borrowed(long now) {
		advance(now);
		return List.copyOf(this.borrowed);
	}

	Optional<Loan> lent(String host, long identifier, long now) {
		advance(now);
		return this.lent.stream().filter(same(host, identifier)).findFirst();
	}

	// Lends a part of the unlent share. What a former loan had more is kept apart until
	// that loan's end, because the borrower may not hear of the change.
	double lend(Loan loan, long former, long now) {
		advance(now);
		RateAndBurst before = unlent();
		Optional<Loan> replaced = lent(loan.host(), former, now);
		this.lent.removeIf(same(loan.host(), former));
		replaced.map((each) -> new Loan(0, each.host(), each.amount().minus(loan.amount()), each.until()))
			.filter((each) -> !each.amount().isZero())
			.ifPresent(this.lent::add);
		this.lent.add(loan);
		double tokens = this.bucket.level(now) * lentFraction(before);
		this.bucket.tryAcquire(tokens, now);
		revise(now);
		return tokens;
	}

	// Lends tokens that are in the bucket, with the burst that they take up.
	void lendTokens(Loan loan, long now) {
		advance(now);
		this.bucket.tryAcquire(loan.amount().burst(), now);
		this.lent.add(loan);
		revise(now);
	}

	// Uses a loan in place of a former one.
	void borrow(Loan loan, long former, double tokens, long now) {
		advance(now);
		this.borrowed.removeIf(same(loan.host(), former));
		this.borrowed.add(loan);
		revise(now);
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

	private void advance(long now) {
		while (now - this.nextChange >= 0) {
			long at = this.nextChange;
			this.lent.removeIf((loan) -> loan.until() - at <= 0);
			this.borrowed.removeIf((loan) -> loan.until() - at <= 0);
			if (this.shareUntil - at <= 0) {
				this.share = RateAndBurst.ZERO;
			}
			revise(at);
		}
	}

	private void revise(long now) {
		RateAndBurst usable = unlent().plus(total(this.borrowed));
		this.bucket.resize(usable.rate(), usable.burst(), now);
		LongStream ends = Stream.of(this.lent, this.borrowed).flatMap(List::stream).mapToLong(Loan::until);
		LongStream shareEnd = this.share.isZero() ? LongStream.empty() : LongStream.of(this.shareUntil);
		this.nextChange = now + LongStream.concat(ends, shareEnd).map((end) -> end - now).min().orElse(REVIEW_NANOS);
	}

	private static Predicate<Loan> same(String host, long identifier) {
		return (loan) -> loan.identifier() == identifier && identifier != 0 && loan.host().equals(host);
	}

	private static RateAndBurst total(List<Loan> loans) {
		return loans.stream().map(Loan::amount).reduce(RateAndBurst.ZERO, RateAndBurst::plus);
	}

}
