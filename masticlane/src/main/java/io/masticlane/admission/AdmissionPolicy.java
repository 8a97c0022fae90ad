package io.masticlane.admission;

import java.util.function.DoubleSupplier;

/**
 * Decides whether a request is sent to a server that is expected to answer at a known
 * time. Under load the less urgent requests are refused first, while those that can still
 * be served in time go through.
 */
public final class AdmissionPolicy {

	/**
	 * The part of the objective that a request of each priority may use where servers are
	 * crowded; the last one holds for all lower ranks. An answer behind the objective is
	 * worth a fraction, costs the same slot, and makes those behind it late as well.
	 */
	private static final double[] CROWDED_PART_BY_PRIORITY = { 1.0, 0.9, 0.8 };

	/**
	 * The part of the time between objective and limit that a request of each priority
	 * may use besides the objective where servers are not crowded and a queue is short.
	 */
	private static final double[] CALM_PART_BY_PRIORITY = { 1.0, 0.8, 0.6 };

	/**
	 * The shortest and longest delay before a refused request returns, in milliseconds;
	 * callers wait at most a third of the time that they have left.
	 */
	private static final double SHORTEST_RETURN_MILLIS = 150;

	private static final double LONGEST_RETURN_MILLIS = 1_500;

	private final DoubleSupplier random;

	/**
	 * Creates a policy.
	 * @param random returns numbers from 0 to 1, which spread the returns
	 */
	public AdmissionPolicy(DoubleSupplier random) {
		this.random = random;
	}

	/**
	 * Returns the latest time at which the answer to a request that has to queue is worth
	 * its slot.
	 * @param objectiveMillis the time within which an answer has its full value, from now
	 * @param limitMillis the time that is left
	 * @param priority the rank of the request
	 * @param crowded whether the servers of the region have hardly a free slot
	 * @return the time in milliseconds from now
	 */
	public double latestResponseMillis(double objectiveMillis, double limitMillis, int priority, boolean crowded) {
		int rank = Math.max(0, Math.min(CROWDED_PART_BY_PRIORITY.length - 1, priority));
		if (crowded) {
			return Math.min(limitMillis, objectiveMillis * CROWDED_PART_BY_PRIORITY[rank]);
		}
		return (limitMillis <= objectiveMillis) ? limitMillis
				: objectiveMillis + (limitMillis - objectiveMillis) * CALM_PART_BY_PRIORITY[rank];
	}

	/**
	 * Returns when a request that was refused for load is to return.
	 * @param excessMillis by how much the expected answer misses the latest useful time
	 * @return the time in milliseconds
	 */
	public double retryAfterMillis(double excessMillis) {
		double earliest = Math.max(SHORTEST_RETURN_MILLIS, Math.min(LONGEST_RETURN_MILLIS, excessMillis));
		return earliest * (1 + this.random.getAsDouble());
	}

}
