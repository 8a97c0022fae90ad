package io.masticlane.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.masticlane.plan.OrganisationPlan;

/**
 * This gateway's share of each organisation's rate. The rate is divided by demand among
 * the gateways whose reports are fresh; a gateway that is not heard keeps an even share
 * reserved, which is also what it uses itself while it hears nobody.
 */
public final class RateShares {

	/**
	 * The part of a rate that is divided by demand; the rest is divided evenly, so that a
	 * first request finds tokens anywhere.
	 */
	private static final double BY_DEMAND = 0.97;

	/**
	 * The part of an organisation's burst that is handed out, as reports lag.
	 */
	private static final double BURST_USED = 0.8;

	/**
	 * The requests besides rate and burst that all gateways together let through, so that
	 * two requests at one gateway do not find the bucket of a small organisation empty.
	 */
	private static final double FLEET_SLACK = 14;

	/**
	 * The part of the burst in a new bucket, since a former process on this host may just
	 * have used its own.
	 */
	private static final double INITIAL_FILL = 0.4;

	/**
	 * The share before the other gateways are known: small, since they may be many.
	 */
	private static final double UNDIVIDED_SHARE = 0.03;

	private final Map<String, Bucket> buckets = new HashMap<>();

	private Map<String, Double> shares = Map.of();

	private double evenShare = UNDIVIDED_SHARE;

	/**
	 * Takes a token for a request.
	 * @param organisation the organisation
	 * @param now the present in nanoseconds
	 * @return zero if the request is inside the share, or the milliseconds until the next
	 * token
	 */
	public long take(OrganisationPlan organisation, long now) {
		if (organisation.ratePerSecond() <= 0) {
			return 0;
		}
		Bucket bucket = this.buckets.computeIfAbsent(organisation.name(), (name) -> new Bucket(now));
		double share = this.shares.getOrDefault(organisation.name(), this.evenShare);
		double rate = organisation.ratePerSecond() * share;
		bucket.refill(rate, Math.max(1, organisation.burst() * BURST_USED * share + FLEET_SLACK * this.evenShare), now);
		if (bucket.tokens >= 1) {
			bucket.tokens--;
			return 0;
		}
		return (long) Math.ceil((1 - bucket.tokens) / Math.max(rate, 1e-3) * TimeUnit.SECONDS.toMillis(1));
	}

	/**
	 * Gives back the token of a request that was not run.
	 * @param organisation the organisation
	 */
	public void giveBack(OrganisationPlan organisation) {
		Bucket bucket = this.buckets.get(organisation.name());
		if (bucket != null) {
			bucket.tokens++;
		}
	}

	/**
	 * Divides the rates anew.
	 * @param own the demand at this gateway, by organisation
	 * @param others the demand at each gateway with a fresh report
	 * @param members the gateways that are believed to live, this one included
	 */
	public void divide(Map<String, Double> own, Iterable<Map<String, Double>> others, int members) {
		Map<String, Double> total = new HashMap<>(own);
		int heard = 1;
		for (Map<String, Double> each : others) {
			heard++;
			each.forEach((organisation, rate) -> total.merge(organisation, rate, Double::sum));
		}
		int known = Math.max(members, heard);
		double available = heard / (double) known;
		this.evenShare = 1.0 / known;
		int divisors = heard;
		Map<String, Double> divided = new HashMap<>();
		total.forEach((organisation, sum) -> {
			double byDemand = own.getOrDefault(organisation, 0.0) / Math.max(sum, 1e-9);
			divided.put(organisation, available * (BY_DEMAND * byDemand + (1 - BY_DEMAND) / divisors));
		});
		this.shares = divided;
	}

	/**
	 * Returns this gateway's share of an organisation's rate.
	 * @param organisation the name of the organisation
	 * @return the share from 0 to 1
	 */
	public double share(String organisation) {
		return this.shares.getOrDefault(organisation, this.evenShare);
	}

	private static final class Bucket {

		private double tokens;

		private long refilledAt;

		private boolean used;

		private Bucket(long now) {
			this.refilledAt = now;
		}

		private void refill(double rate, double burst, long now) {
			if (!this.used) {
				this.used = true;
				this.tokens = burst * INITIAL_FILL;
			}
			double seconds = (now - this.refilledAt) / (double) TimeUnit.SECONDS.toNanos(1);
			this.refilledAt = now;
			this.tokens = Math.min(burst, this.tokens + rate * seconds);
		}

	}

}
