package io.masticlane.admission;

import java.util.function.DoubleSupplier;

/**
 * Decides whether a request is sent to a server that is expected to answer at a known
 * time. Under load the less urgent requests are refused first, while those that can still
 * be served in time go through.
 */
public final class AdmissionPolicy {

	/**
	 * The part of the time between objective and limit that a request of each priority
	 * may use; the last one holds for all lower ranks.
	 */
	private static final double[] LATENESS_BY_PRIORITY = { 1.0, 0.7, 0.4 };

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
	 * Returns the latest time at which an answer is still worth a slot.
	 * @param objectiveMillis the time within which an answer has its full value, from the
	 * arrival
	 * @param limitMillis the time that is left
	 * @param priority the rank of the request
	 * @return the time in milliseconds from now
	 */
	public double latest(double objectiveMillis, double limitMillis, int priority) {
		int rank = Math.max(0, Math.min(LATENESS_BY_PRIORITY.length - 1, priority));
		if (limitMillis <= objectiveMillis) {
			return limitMillis;
		}
		return objectiveMillis + (limitMillis - objectiveMillis) * LATENESS_BY_PRIORITY[rank];
	}

	/**
	 * Returns when a request that was refused for load is to return.
	 * @param excessMillis by how much the expected answer misses the latest useful time
	 * @return the time in milliseconds
	 */
	public double returnAfter(double excessMillis) {
		double earliest = Math.max(SHORTEST_RETURN_MILLIS, Math.min(LONGEST_RETURN_MILLIS, excessMillis));
		return earliest * (1 + this.random.getAsDouble());
	}

}
