package io.masticlane.share;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.masticlane.configuration.Organisation;
import io.masticlane.limit.Limits;
import io.masticlane.limit.TokenBucket;

/**
 * Measures in simulated time how many requests are refused although a single token bucket
 * for the whole fleet would have admitted them, for the share ledger and for two
 * baselines on the same arrivals.
 */
public final class WrongfulRefusals {

	private static final int HOSTS = 7;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final long WARM_UP_NANOS = 20 * NANOS_PER_SECOND;

	private static final long LOSS_AT_NANOS = 30 * NANOS_PER_SECOND;

	private static final long RECOVERY_NANOS = 10 * NANOS_PER_SECOND;

	private static final long END_NANOS = 120 * NANOS_PER_SECOND;

	private static final int WAIT_STEPS = 15;

	private static final double[] HOST_FRACTIONS = { 0.40, 0.20, 0.15, 0.10, 0.08, 0.05, 0.02 };

	private static final List<Organisation> ORGANISATIONS = List.of(Organisation.of("burrabazar", 400, 200),
			Organisation.of("salt-lake", 300, 150), Organisation.of("howrah", 200, 100),
			Organisation.of("siliguri", 100, 50), Organisation.of("malda", 60, 30), Organisation.of("haldia", 60, 30),
			Organisation.of("asansol", 40, 20), Organisation.of("kalna", 20, 14));

	private WrongfulRefusals() {
	}

	/**
	 * Prints a table for each scenario.
	 * @param arguments the seed, or nothing for the seed 1
	 */
	public static void main(String[] arguments) {
		long seed = (arguments.length > 0) ? Long.parseLong(arguments[0]) : 1;
		Stream
			.of(new Scenario("skewed, at 70 % of each rate", 0.7, 1, false),
					new Scenario("skewed, at 70 %, one entry host lost", 0.7, 1, true),
					new Scenario("skewed, at 90 % of each rate", 0.9, 1, false),
					new Scenario("skewed, at 70 %, burrabazar at 5 times its rate", 0.7, 5 / 0.7, false))
			.forEach((scenario) -> new Run(scenario, seed).print());
	}

	private static List<TokenBucket> buckets(double divisor) {
		return ORGANISATIONS.stream().map((each) -> {
			TokenBucket bucket = new TokenBucket(0);
			double tolerance = (divisor == 1) ? SimulatedFleet.DRIFT : 0;
			bucket.resize(each.requestsPerSecond() / divisor * (1 + tolerance), each.burst() / divisor, 0);
			bucket.add(each.burst(), 0);
			return bucket;
		}).toList();
	}

	private record Scenario(String name, double load, double surgeFactor, boolean hostLost) {

		double demand(int organisation) {
			return ORGANISATIONS.get(organisation).requestsPerSecond() * this.load
					* ((organisation == 0) ? this.surgeFactor : 1);
		}

	}

	/**
	 * Admits or refuses a request at an entry host.
	 */
	@FunctionalInterface
	private interface Admission {

		boolean tryAcquire(int host, int organisation, long now);

		default boolean tryAcquireDelayed(int host, int organisation, long now) {
			return tryAcquire(host, organisation, now);
		}

	}

	private static final class Run {

		private final Scenario scenario;

		private final Random random;

		private final SimulatedFleet fleet;

		private final List<Candidate> candidates;

		private final List<TokenBucket> fleetBuckets = buckets(1);

		private final long[] offered = new long[ORGANISATIONS.size()];

		private SimulatedFleet waitingFleet;

		private Run(Scenario scenario, long seed) {
			this.scenario = scenario;
			this.random = new Random(seed);
			this.fleet = new SimulatedFleet(HOSTS, ORGANISATIONS, seed);
			this.candidates = List.of(new Candidate("share ledger", this::ledger, 0),
					new Candidate("share ledger, waiting up to 150 ms", waiting(new Run(this)), WAIT_STEPS),
					new Candidate("equal static shares", equalShares(), 0),
					new Candidate("one owner per organisation", owners(), 0));
		}

		private Run(Run other) {
			this.scenario = other.scenario;
			this.random = other.random;
			this.fleet = new SimulatedFleet(HOSTS, ORGANISATIONS, 1);
			this.candidates = List.of();
			other.waitingFleet = this.fleet;
		}

		private boolean ledger(int host, int organisation, long now) {
			SimulatedFleet.Host process = this.fleet.host(host);
			String limit = Limits.organisationIdentifier(ORGANISATIONS.get(organisation).name());
			return process.ledger().tryAcquire(limit, 1, process.clock());
		}

		private static Admission waiting(Run run) {
			return new Admission() {
				@Override
				public boolean tryAcquire(int host, int organisation, long now) {
					return run.ledger(host, organisation, now);
				}

				@Override
				public boolean tryAcquireDelayed(int host, int organisation, long now) {
					SimulatedFleet.Host process = run.fleet.host(host);
					String limit = Limits.organisationIdentifier(ORGANISATIONS.get(organisation).name());
					return process.ledger().tryAcquireDelayed(limit, 1, process.clock());
				}
			};
		}

		private Admission equalShares() {
			List<List<TokenBucket>> shares = IntStream.range(0, HOSTS).mapToObj((host) -> buckets(HOSTS)).toList();
			return (host, organisation, now) -> shares.get(host).get(organisation).tryAcquire(1, now);
		}

		private Admission owners() {
			List<TokenBucket> owned = buckets(1);
			return (host, organisation, now) -> {
				boolean ownedByLostHost = organisation % HOSTS == 0;
				boolean ownerUnavailable = this.scenario.hostLost() && ownedByLostHost && now >= LOSS_AT_NANOS
						&& now < LOSS_AT_NANOS + RECOVERY_NANOS;
				return !ownerUnavailable && owned.get(organisation).tryAcquire(1, now);
			};
		}

		private void print() {
			while (this.fleet.now() < END_NANOS) {
				step();
			}
			System.out.println("\n" + this.scenario.name() + ": "
					+ IntStream.range(0, this.offered.length).mapToLong((each) -> this.offered[each]).sum()
					+ " requests");
			System.out.println("| method | wrongly refused | worst organisation | within 10 s of the loss "
					+ "| above rate and burst | burrabazar admitted, of what one bucket admits |");
			System.out.println("|---|---|---|---|---|---|");
			this.candidates.forEach((each) -> System.out.println(each.row(this.offered)));
		}

		private void step() {
			this.fleet.step();
			this.waitingFleet.step();
			long now = this.fleet.now();
			if (this.scenario.hostLost() && now == LOSS_AT_NANOS) {
				this.fleet.crash(0, 2 * END_NANOS);
				this.waitingFleet.crash(0, 2 * END_NANOS);
			}
			for (int organisation = 0; organisation < ORGANISATIONS.size(); organisation++) {
				double expected = this.scenario.demand(organisation) * SimulatedFleet.STEP / NANOS_PER_SECOND;
				for (int arrivals = poisson(expected); arrivals > 0; arrivals--) {
					arrive(organisation, host(organisation, now), now);
				}
			}
			this.candidates.forEach((each) -> each.retry(now));
		}

		private void arrive(int organisation, int host, long now) {
			boolean withinLimit = this.fleetBuckets.get(organisation).tryAcquire(1, now);
			boolean counted = now > WARM_UP_NANOS;
			boolean recovering = this.scenario.hostLost() && now >= LOSS_AT_NANOS
					&& now < LOSS_AT_NANOS + RECOVERY_NANOS;
			if (counted && !recovering) {
				this.offered[organisation]++;
			}
			this.candidates
				.forEach((each) -> each.arrive(new Request(organisation, host, withinLimit, counted, recovering), now));
		}

		private int host(int organisation, long now) {
			double point = this.random.nextDouble();
			int rank = 0;
			while (rank < HOSTS - 1 && point >= HOST_FRACTIONS[rank]) {
				point -= HOST_FRACTIONS[rank];
				rank++;
			}
			int host = (rank + organisation) % HOSTS;
			boolean lost = this.scenario.hostLost() && now >= LOSS_AT_NANOS && host == 0;
			return lost ? 1 + this.random.nextInt(HOSTS - 1) : host;
		}

		private int poisson(double mean) {
			int count = 0;
			for (double product = this.random.nextDouble(); product > Math.exp(-mean); count++) {
				product *= this.random.nextDouble();
			}
			return count;
		}

	}

	private record Request(int organisation, int host, boolean withinLimit, boolean counted, boolean recovering) {
	}

	private record Waiting(Request request, long until) {
	}

	private static final class Candidate {

		private final String name;

		private final Admission admission;

		private final int waitSteps;

		private final List<Waiting> waiting = new ArrayList<>();

		private final List<TokenBucket> fleetBuckets = buckets(1);

		private final long[] wrongRefusals = new long[ORGANISATIONS.size()];

		private long wrongRefusalsDuringRecovery;

		private long aboveLimit;

		private long surgeAdmitted;

		private long surgeWithinLimit;

		private Candidate(String name, Admission admission, int waitSteps) {
			this.name = name;
			this.admission = admission;
			this.waitSteps = waitSteps;
		}

		private void arrive(Request request, long now) {
			if (request.counted() && request.organisation() == 0 && request.withinLimit()) {
				this.surgeWithinLimit++;
			}
			if (!admitted(request, now, this.admission::tryAcquire)) {
				this.waiting.add(new Waiting(request, now + this.waitSteps * SimulatedFleet.STEP));
			}
		}

		private void retry(long now) {
			this.waiting.removeIf((each) -> {
				boolean admitted = this.waitSteps > 0
						&& admitted(each.request(), now, this.admission::tryAcquireDelayed);
				boolean refused = !admitted && now >= each.until();
				if (refused && each.request().withinLimit() && each.request().counted()) {
					refuse(each.request());
				}
				return admitted || refused;
			});
		}

		private void refuse(Request request) {
			if (request.recovering()) {
				this.wrongRefusalsDuringRecovery++;
			}
			else {
				this.wrongRefusals[request.organisation()]++;
			}
		}

		private boolean admitted(Request request, long now, Admission admission) {
			boolean admitted = admission.tryAcquire(request.host(), request.organisation(), now);
			if (admitted && !this.fleetBuckets.get(request.organisation()).tryAcquire(1, now)) {
				this.aboveLimit++;
			}
			if (admitted && request.counted() && request.organisation() == 0) {
				this.surgeAdmitted++;
			}
			return admitted;
		}

		private String row(long[] offered) {
			int worst = IntStream.range(0, this.wrongRefusals.length)
				.boxed()
				.max((a, b) -> Double.compare((double) this.wrongRefusals[a] / offered[a],
						(double) this.wrongRefusals[b] / offered[b]))
				.orElse(0);
			long all = IntStream.range(0, offered.length).mapToLong((each) -> offered[each]).sum();
			long wrongRefusals = IntStream.range(0, offered.length).mapToLong((each) -> this.wrongRefusals[each]).sum();
			return String.format(Locale.ROOT, "| %s | %.3f %% | %s %.3f %% | %d | %d | %.1f %% |", this.name,
					100.0 * wrongRefusals / all, ORGANISATIONS.get(worst).name(),
					100.0 * this.wrongRefusals[worst] / offered[worst], this.wrongRefusalsDuringRecovery,
					this.aboveLimit, 100.0 * this.surgeAdmitted / this.surgeWithinLimit);
		}

	}

}
