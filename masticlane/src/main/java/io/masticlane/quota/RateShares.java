package io.masticlane.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import io.masticlane.plan.OrganisationPlan;

/**
 * This gateway's view of the token bucket of each organisation, which all gateways share.
 * Every gateway subtracts the requests that it and the others admitted, and may use its
 * fraction of the level until the next reports. The level becomes negative when reports
 * lag behind a sudden increase of requests, so that an excess is compensated immediately.
 * A gateway without a recent report is assumed to use an equal share, and the others
 * share the rest of the bucket.
 */
public final class RateShares {

	/**
	 * The fraction of the level that is divided by demand; the rest is divided equally.
	 */
	private static final double DEMAND_FRACTION = 0.9;

	/**
	 * The tokens that a full bucket holds in addition to the burst. The rest of the
	 * tolerance of 10% and 20 requests in 5 s covers reports that lag behind.
	 */
	private static final double CAPACITY_SLACK = 4;

	/**
	 * The seconds of the rate that all gateways together may use between two reports
	 * while the bucket is at least half full.
	 */
	private static final double RELAXED_RATE_SECONDS = 0.8;

	/**
	 * The fraction of the burst that all gateways together may use between two reports
	 * while the bucket is at least half full.
	 */
	private static final double RELAXED_BURST_FRACTION = 0.6;

	/**
	 * The tokens that all gateways together may use in addition between two reports while
	 * the bucket is at least half full.
	 */
	private static final double RELAXED_SLACK = 16;

	/**
	 * The fraction of the capacity from which the larger limits between reports apply.
	 */
	private static final double RELAXED_LEVEL_FRACTION = 0.5;

	/**
	 * The initial level of a bucket as a fraction of its capacity. A previous process may
	 * just have used the tokens, but the bucket was refilled during the restart; a lower
	 * level would leave each of many gateways less than one token.
	 */
	private static final double INITIAL_LEVEL_FRACTION = 0.6;

	/**
	 * The period after the creation of a bucket in which the larger limits between
	 * reports do not apply, since the reports of the other gateways are still missing.
	 */
	private static final double UNREPORTED_SECONDS = 1.1;

	/**
	 * The time constant of the exponential smoothing of demand.
	 */
	private static final double SMOOTHING_SECONDS = 1.5;

	private final Map<String, Bucket> buckets = new HashMap<>();

	private final Map<String, Counts> countsByHost = new HashMap<>();

	private final DoubleSupplier random;

	private int members = 1;

	/**
	 * Creates the shares of a gateway.
	 * @param random returns numbers from 0 to 1, which decide whether a share of less
	 * than one token is a whole token
	 */
	public RateShares(DoubleSupplier random) {
		this.random = random;
	}

	/**
	 * Adds or updates the organisations of a plan.
	 * @param organisations the organisations
	 */
	public void organisations(Collection<OrganisationPlan> organisations) {
		organisations.forEach(
				(organisation) -> this.buckets.computeIfAbsent(organisation.name(), (name) -> new Bucket(organisation))
					.plan(organisation));
	}

	/**
	 * Acquires a token for a request.
	 * @param organisation the name of the organisation
	 * @return zero if the request is within the rate, else the milliseconds until a token
	 * is likely to be available
	 */
	public long acquire(String organisation) {
		Bucket bucket = this.buckets.get(organisation);
		return (bucket != null) ? bucket.acquire() : 0;
	}

	/**
	 * Refunds the token of a request that was not run.
	 * @param organisation the name of the organisation
	 */
	public void refund(String organisation) {
		Bucket bucket = this.buckets.get(organisation);
		if (bucket != null) {
			bucket.refund();
		}
	}

	/**
	 * Handles the counts in a report of another gateway.
	 * @param host the name of its entry host
	 * @param incarnation the identifier of its process
	 * @param admitted the requests that it admitted since its start, by organisation
	 * @param refused the requests that it refused since its start, by organisation
	 */
	public void reportReceived(String host, String incarnation, Map<String, Long> admitted, Map<String, Long> refused) {
		Counts previous = this.countsByHost.get(host);
		boolean restarted = previous != null && !previous.incarnation().equals(incarnation);
		Counts current = (previous != null && !restarted) ? previous
				: new Counts(incarnation, new HashMap<>(), new HashMap<>());
		this.countsByHost.put(host, current);
		admitted.forEach((organisation, count) -> {
			Long last = current.admitted().put(organisation, count);
			long admittedSince = count - ((last != null) ? last : restarted ? 0 : count);
			Bucket bucket = this.buckets.get(organisation);
			if (bucket != null) {
				bucket.level -= admittedSince;
				bucket.requestedElsewhere += Math.max(0, admittedSince);
			}
		});
		refused.forEach((organisation, count) -> {
			Long last = current.refused().put(organisation, count);
			Bucket bucket = this.buckets.get(organisation);
			if (bucket != null && last != null) {
				bucket.requestedElsewhere += Math.max(0, count - last);
			}
		});
	}

	/**
	 * Computes the tokens that this gateway may use until the next reports.
	 * @param gateways the number of known gateways, including this one
	 * @param fresh the number of gateways with a recent report, including this one
	 * @param now the current time in nanoseconds
	 */
	public void divide(int gateways, int fresh, long now) {
		this.members = Math.max(1, Math.max(gateways, fresh));
		double unreportedFraction = (this.members - Math.max(1, fresh)) / (double) this.members;
		this.buckets.values().forEach((bucket) -> bucket.divide(unreportedFraction, this.members, this.random, now));
	}

	/**
	 * Refuses the requests of all organisations with a rate until the next division,
	 * since the other gateways may use the share of this one.
	 * @param now the current time in nanoseconds
	 */
	public void suspend(long now) {
		this.buckets.values().forEach((bucket) -> bucket.suspend(now));
	}

	/**
	 * Returns the number of requests that this gateway admitted since its start.
	 * @param all whether to include organisations without a change since the last call
	 * @return the requests by organisation
	 */
	public Map<String, Long> admittedCounts(boolean all) {
		Map<String, Long> counts = new HashMap<>();
		this.buckets.forEach((name, bucket) -> {
			if (all || bucket.admitted != bucket.admittedReported) {
				bucket.admittedReported = bucket.admitted;
				counts.put(name, bucket.admitted);
			}
		});
		return counts;
	}

	/**
	 * Returns the number of requests that this gateway refused since its start, for the
	 * organisations with a change since the last call.
	 * @return the requests by organisation
	 */
	public Map<String, Long> refusedCounts() {
		Map<String, Long> counts = new HashMap<>();
		this.buckets.forEach((name, bucket) -> {
			if (bucket.refused != bucket.refusedReported) {
				bucket.refusedReported = bucket.refused;
				counts.put(name, bucket.refused);
			}
		});
		return counts;
	}

	/**
	 * Describes the state of an organisation's bucket for logs.
	 * @param organisation the name of the organisation
	 * @return the level of the bucket, the tokens that this gateway may use, and the
	 * demand per second
	 */
	public String describe(String organisation) {
		Bucket bucket = this.buckets.get(organisation);
		return (bucket != null) ? String.format(Locale.ROOT, "level=%.1f grant=%.1f demand=%.1f elsewhere=%.1f",
				bucket.level, bucket.grant, bucket.demand, bucket.demandElsewhere) : "level=-";
	}

	private record Counts(String incarnation, Map<String, Long> admitted, Map<String, Long> refused) {
	}

	private static final class Bucket {

		private OrganisationPlan plan;

		private double level;

		private double grant;

		private double demand;

		private double demandElsewhere;

		private long requested;

		private long requestedElsewhere;

		private long admitted;

		private long admittedReported;

		private long refused;

		private long refusedReported;

		private long createdAt;

		private long dividedAt;

		private boolean divided;

		private Bucket(OrganisationPlan plan) {
			this.plan = plan;
			this.level = capacity() * INITIAL_LEVEL_FRACTION;
		}

		private void plan(OrganisationPlan updated) {
			this.plan = updated;
			this.level = Math.min(this.level, capacity());
			this.grant = Math.min(this.grant, capacity());
		}

		private long acquire() {
			if (this.plan.ratePerSecond() <= 0) {
				return 0;
			}
			this.requested++;
			if (this.grant >= 1) {
				this.grant--;
				this.level--;
				this.admitted++;
				return 0;
			}
			this.refused++;
			return (long) Math
				.ceil(TimeUnit.SECONDS.toMillis(1) * Math.max(0.3, (1 - this.level) / this.plan.ratePerSecond()));
		}

		private void refund() {
			if (this.plan.ratePerSecond() > 0) {
				this.grant++;
				this.level++;
				this.admitted--;
			}
		}

		private void suspend(long now) {
			this.grant = 0;
			this.dividedAt = now;
		}

		private void divide(double unreportedFraction, int members, DoubleSupplier random, long now) {
			if (!this.divided) {
				this.divided = true;
				this.createdAt = now;
				this.dividedAt = now;
			}
			double seconds = seconds(this.dividedAt, now);
			this.dividedAt = now;
			double smoothing = 1 - Math.exp(-seconds / SMOOTHING_SECONDS);
			if (seconds > 0) {
				this.demand += smoothing * (this.requested / seconds - this.demand);
				this.demandElsewhere += smoothing * (this.requestedElsewhere / seconds - this.demandElsewhere);
			}
			this.requested = 0;
			this.requestedElsewhere = 0;
			double rate = this.plan.ratePerSecond();
			boolean starting = seconds(this.createdAt, now) < UNREPORTED_SECONDS;
			double reportedFraction = 1 - unreportedFraction;
			double capacity = capacity() * (starting ? 1 : reportedFraction);
			this.level = Math.min(capacity, this.level + rate * reportedFraction * seconds);
			double sharing = starting ? members : members * reportedFraction;
			double total = this.demand + this.demandElsewhere;
			double demandFraction = DEMAND_FRACTION * (starting ? reportedFraction : 1);
			double fraction = demandFraction * ((total > 0) ? this.demand / total : 1 / sharing)
					+ (1 - demandFraction) / sharing;
			double share = Math.max(0, this.level) * fraction;
			if (this.level >= capacity * RELAXED_LEVEL_FRACTION) {
				double relaxed = starting ? 0
						: rate * RELAXED_RATE_SECONDS + this.plan.burst() * RELAXED_BURST_FRACTION + RELAXED_SLACK;
				share = Math.max(share, Math.max(1, relaxed / members));
			}
			this.grant = (share >= 1) ? share : (random.getAsDouble() < share) ? 1 : 0;
		}

		private static double seconds(long from, long to) {
			return (to - from) / (double) TimeUnit.SECONDS.toNanos(1);
		}

		private double capacity() {
			return this.plan.burst() + CAPACITY_SLACK;
		}

	}

}
