package io.masticlane.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The recent arrivals at a gateway for a service in a region, and the work that they
 * need, by kind of request. Older arrivals count exponentially less.
 */
final class Demand {

	/**
	 * The time constant with which arrivals lose their weight. A gateway that receives 8
	 * requests of a kind per second knows its demand to a quarter, and a burst of some
	 * seconds is followed.
	 */
	private static final double DECAY_SECONDS = 2;

	/**
	 * The weight below which a kind is forgotten, about 10 s after a single arrival.
	 */
	private static final double MINIMUM_WEIGHT = 0.01;

	private final Map<Arrival.Kind, Tally> tallies = new HashMap<>();

	private double demandedMillis;

	private double admittedMillis;

	private long decayedAt;

	private boolean started;

	/**
	 * Counts an arrival.
	 * @param arrival the arrival
	 */
	void record(Arrival arrival) {
		this.tallies.computeIfAbsent(arrival.kind(), (kind) -> new Tally()).add(arrival);
		this.demandedMillis += arrival.workMillis();
	}

	/**
	 * Counts an arrival that was admitted.
	 * @param arrival the arrival
	 */
	void recordAdmitted(Arrival arrival) {
		this.admittedMillis += arrival.workMillis();
	}

	/**
	 * Returns the fraction of the demanded work that was admitted.
	 * @return the fraction, 1 without demand
	 */
	double admittedFraction() {
		return isEmpty() ? 1 : Math.min(1, this.admittedMillis / this.demandedMillis);
	}

	/**
	 * Lowers the weight of earlier arrivals.
	 * @param now the current time in nanoseconds
	 */
	void decay(long now) {
		double seconds = this.started ? (now - this.decayedAt) / (double) TimeUnit.SECONDS.toNanos(1) : 0;
		this.started = true;
		this.decayedAt = now;
		double factor = Math.exp(-Math.max(0, seconds) / DECAY_SECONDS);
		this.tallies.values().forEach((tally) -> tally.decay(factor));
		this.tallies.values().removeIf((tally) -> tally.requests < MINIMUM_WEIGHT);
		this.demandedMillis *= factor;
		this.admittedMillis *= factor;
	}

	/**
	 * Returns whether there were no arrivals recently.
	 * @return whether there is no demand
	 */
	boolean isEmpty() {
		return this.tallies.isEmpty();
	}

	/**
	 * Returns the fraction of the demanded work that the routes of the most urgent
	 * priority need.
	 * @return the fraction, 1 if all routes have the same priority
	 */
	double mostUrgentFraction() {
		int priority = this.tallies.values().stream().mapToInt((tally) -> tally.routePriority).min().orElse(0);
		double work = this.tallies.values().stream().mapToDouble((tally) -> tally.workMillis).sum();
		double urgent = this.tallies.values()
			.stream()
			.filter((tally) -> tally.routePriority == priority)
			.mapToDouble((tally) -> tally.workMillis)
			.sum();
		return (work > 0) ? urgent / work : 1;
	}

	/**
	 * Returns the kinds of requests in the order in which they are admitted: by priority,
	 * those expected in time before those expected late, and then those first that need
	 * less work, since as many slots serve more of them.
	 * @return the kinds with the work that their arrivals need
	 */
	List<KindDemand> inOrder() {
		return this.tallies.entrySet()
			.stream()
			.map((entry) -> new KindDemand(entry.getKey(), entry.getValue().requests, entry.getValue().workMillis))
			.sorted(Comparator.comparing(KindDemand::kind, Arrival.Kind.BY_URGENCY)
				.thenComparingDouble(KindDemand::meanWorkMillis)
				.thenComparing((each) -> each.kind().route()))
			.toList();
	}

	/**
	 * Returns the mean work of a request.
	 * @return the time in milliseconds, at least 1
	 */
	double meanWorkMillis() {
		double requests = this.tallies.values().stream().mapToDouble((tally) -> tally.requests).sum();
		double work = this.tallies.values().stream().mapToDouble((tally) -> tally.workMillis).sum();
		return (requests > 0) ? Math.max(1, work / requests) : 1;
	}

	/**
	 * Returns the shortest objective of the most urgent kinds.
	 * @return the time in milliseconds, or zero without demand
	 */
	double urgentObjectiveMillis() {
		int priority = this.tallies.keySet().stream().mapToInt(Arrival.Kind::priority).min().orElse(0);
		return this.tallies.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().priority() == priority)
			.mapToDouble((entry) -> entry.getValue().objectiveMillis)
			.min()
			.orElse(0);
	}

	/**
	 * The recent arrivals of a kind.
	 *
	 * @param kind the kind
	 * @param requests the weighted number of arrivals
	 * @param workMillis the weighted sum of their work in milliseconds
	 */
	record KindDemand(Arrival.Kind kind, double requests, double workMillis) {

		double meanWorkMillis() {
			return this.workMillis / this.requests;
		}

	}

	private static final class Tally {

		private int routePriority;

		private double requests;

		private double workMillis;

		private double objectiveMillis;

		private void add(Arrival arrival) {
			this.routePriority = arrival.routePriority();
			this.requests++;
			this.workMillis += arrival.workMillis();
			this.objectiveMillis = arrival.objectiveMillis();
		}

		private void decay(double factor) {
			this.requests *= factor;
			this.workMillis *= factor;
		}

	}

}
