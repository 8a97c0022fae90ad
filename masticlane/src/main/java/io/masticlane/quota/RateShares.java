package io.masticlane.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.masticlane.plan.OrganisationPlan;

/**
 * This gateway's view of each organisation's bucket of tokens, which the whole fleet
 * draws on. Every gateway counts what itself and the others let through, and may use its
 * part of the level until the next reports. The level goes below zero when reports lag
 * behind a flood, so that what was let through too much is paid back at once. A gateway
 * that is not heard is taken to use an even share.
 */
public final class RateShares {

	/**
	 * The part of the level that is divided by demand; the rest is divided evenly.
	 */
	private static final double BY_DEMAND = 0.9;

	/**
	 * The parts of rate and burst, and the tokens besides, that a full bucket holds. They
	 * stay inside the tolerance of a tenth and twenty requests in five seconds.
	 */
	private static final double LEVEL_RATE_SECONDS = 0.1;

	private static final double LEVEL_SLACK = 8;

	/**
	 * The parts of rate and burst, and the tokens besides, that all gateways together may
	 * use between two reports while the bucket is more than half full.
	 */
	private static final double CALM_RATE_SECONDS = 1;

	private static final double CALM_BURST = 0.8;

	private static final double CALM_SLACK = 12;

	private static final double CALM_LEVEL = 0.5;

	/**
	 * The level of a bucket when this process starts, since a former process may just
	 * have used it.
	 */
	private static final double INITIAL_LEVEL = 0.3;

	/**
	 * The time in which an old demand loses most of its weight.
	 */
	private static final double SMOOTHING_SECONDS = 1.5;

	private final Map<String, Account> accounts = new HashMap<>();

	private final Map<String, Heard> heard = new HashMap<>();

	private int members = 1;

	/**
	 * Takes the organisations of a plan.
	 * @param organisations the organisations
	 */
	public void organisations(Collection<OrganisationPlan> organisations) {
		organisations
			.forEach((each) -> this.accounts.computeIfAbsent(each.name(), (name) -> new Account(each)).plan(each));
	}

	/**
	 * Takes a token for a request.
	 * @param organisation the name of the organisation
	 * @return zero if the request is inside the rate, or the milliseconds after which a
	 * token is likely
	 */
	public long acquire(String organisation) {
		Account account = this.accounts.get(organisation);
		return (account != null) ? account.take() : 0;
	}

	/**
	 * Gives back the token of a request that was not run.
	 * @param organisation the name of the organisation
	 */
	public void refund(String organisation) {
		Account account = this.accounts.get(organisation);
		if (account != null) {
			account.giveBack();
		}
	}

	/**
	 * Takes the counts of another gateway.
	 * @param host the name of its entry host
	 * @param incarnation the identifier of its process
	 * @param admitted the requests that it let through since its start, by organisation
	 * @param refused the requests that it refused since its start, by organisation
	 */
	public void reportReceived(String host, String incarnation, Map<String, Long> admitted, Map<String, Long> refused) {
		Heard former = this.heard.get(host);
		boolean restarted = former != null && !former.incarnation().equals(incarnation);
		Heard present = (former != null && !restarted) ? former
				: new Heard(incarnation, new HashMap<>(), new HashMap<>());
		this.heard.put(host, present);
		admitted.forEach((organisation, count) -> {
			Long before = present.admitted().put(organisation, count);
			long used = count - ((before != null) ? before : restarted ? 0 : count);
			Account account = this.accounts.get(organisation);
			if (account != null) {
				account.level -= used;
				account.askedElsewhere += Math.max(0, used);
			}
		});
		refused.forEach((organisation, count) -> {
			Long before = present.refused().put(organisation, count);
			Account account = this.accounts.get(organisation);
			if (account != null && before != null) {
				account.askedElsewhere += Math.max(0, count - before);
			}
		});
	}

	/**
	 * Divides the levels for the time until the next reports.
	 * @param gateways the gateways that are believed to live, this one included
	 * @param fresh the gateways with a fresh report, this one included
	 * @param now the present in nanoseconds
	 */
	public void divide(int gateways, int fresh, long now) {
		this.members = Math.max(1, Math.max(gateways, fresh));
		double silentPart = (this.members - Math.max(1, fresh)) / (double) this.members;
		this.accounts.values().forEach((account) -> account.divide(silentPart, this.members, now));
	}

	/**
	 * Returns the requests that this gateway let through since its start, where they
	 * changed since the last call or all of them are asked for.
	 * @param all whether all are asked for
	 * @return the requests by organisation
	 */
	public Map<String, Long> admittedCounts(boolean all) {
		Map<String, Long> counts = new HashMap<>();
		this.accounts.forEach((name, account) -> {
			if (all || account.admitted != account.admittedTold) {
				account.admittedTold = account.admitted;
				counts.put(name, account.admitted);
			}
		});
		return counts;
	}

	/**
	 * Returns the requests that this gateway refused since its start, where they changed
	 * since the last call.
	 * @return the requests by organisation
	 */
	public Map<String, Long> refusedCounts() {
		Map<String, Long> counts = new HashMap<>();
		this.accounts.forEach((name, account) -> {
			if (account.refused != account.refusedTold) {
				account.refusedTold = account.refused;
				counts.put(name, account.refused);
			}
		});
		return counts;
	}

	/**
	 * Returns what decides on an organisation's requests, for logs.
	 * @param organisation the name of the organisation
	 * @return the level of the bucket, this gateway's part of it, and the demand a second
	 */
	public String describe(String organisation) {
		Account account = this.accounts.get(organisation);
		return (account != null) ? String.format(Locale.ROOT, "level=%.1f grant=%.1f demand=%.1f elsewhere=%.1f",
				account.level, account.grant, account.demand, account.demandElsewhere) : "level=-";
	}

	private record Heard(String incarnation, Map<String, Long> admitted, Map<String, Long> refused) {
	}

	private static final class Account {

		private OrganisationPlan plan;

		private double level;

		private double grant;

		private double demand;

		private double demandElsewhere;

		private long asked;

		private long askedElsewhere;

		private long admitted;

		private long admittedTold;

		private long refused;

		private long refusedTold;

		private long dividedAt;

		private boolean divided;

		private Account(OrganisationPlan plan) {
			this.plan = plan;
			this.level = largestLevel() * INITIAL_LEVEL;
		}

		private void plan(OrganisationPlan newer) {
			this.plan = newer;
			this.level = Math.min(this.level, largestLevel());
			this.grant = Math.min(this.grant, largestLevel());
		}

		private long take() {
			if (this.plan.ratePerSecond() <= 0) {
				return 0;
			}
			this.asked++;
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

		private void giveBack() {
			if (this.plan.ratePerSecond() > 0) {
				this.grant++;
				this.level++;
				this.admitted--;
			}
		}

		private void divide(double silentPart, int members, long now) {
			double seconds = this.divided ? (now - this.dividedAt) / (double) TimeUnit.SECONDS.toNanos(1) : 0;
			this.divided = true;
			this.dividedAt = now;
			double weight = 1 - Math.exp(-seconds / SMOOTHING_SECONDS);
			if (seconds > 0) {
				this.demand += weight * (this.asked / seconds - this.demand);
				this.demandElsewhere += weight * (this.askedElsewhere / seconds - this.demandElsewhere);
			}
			this.asked = 0;
			this.askedElsewhere = 0;
			double rate = this.plan.ratePerSecond();
			this.level = Math.min(largestLevel(), this.level + rate * (1 - silentPart) * seconds);
			double total = this.demand + this.demandElsewhere;
			double part = (1 - silentPart) * BY_DEMAND * ((total > 0) ? this.demand / total : 1.0 / members)
					+ (1 - BY_DEMAND * (1 - silentPart)) / members;
			double left = Math.max(0, Math.min(1, this.grant));
			double share = Math.max(0, this.level) * part;
			if (this.level >= largestLevel() * CALM_LEVEL) {
				double calm = rate * CALM_RATE_SECONDS + this.plan.burst() * CALM_BURST + CALM_SLACK;
				share = Math.max(share, Math.max(1, calm / members));
			}
			this.grant = share + left;
		}

		private double largestLevel() {
			return this.plan.burst() + this.plan.ratePerSecond() * LEVEL_RATE_SECONDS + LEVEL_SLACK;
		}

	}

}
