package io.masticlane.admission;

import java.util.function.DoubleSupplier;

/**
 * Decides whether a request is sent to a server with a known expected response time.
 * Under load, the requests of lower priority are refused first, and requests that can
 * still be served in time are admitted.
 */
public final class AdmissionPolicy {

	/**
	 * The fraction of the objective that a request of each priority may use where servers
	 * are congested; the last one applies to all lower priorities. A response after the
	 * objective has a fraction of the value, occupies the same slot, and delays the
	 * requests queued behind it.
	 */
	private static final double[] CONGESTED_FRACTION_BY_PRIORITY = { 1.0, 0.9, 0.8 };

	/**
	 * The fraction of the time between objective and limit that a request of each
	 * priority may use in addition to the objective where servers are not congested and a
	 * queue is short.
	 */
	private static final double[] UNCONGESTED_FRACTION_BY_PRIORITY = { 1.0, 0.8, 0.6 };

	/**
	 * The minimum delay before a refused request is retried, in milliseconds, without the
	 * random spread.
	 */
	static final double MINIMUM_RETRY_DELAY_MILLIS = 150;

	/**
	 * The maximum delay before a refused request is retried, in milliseconds, without the
	 * random spread; callers wait at most a third of their remaining time.
	 */
	private static final double MAXIMUM_RETRY_DELAY_MILLIS = 1_500;

	/**
	 * The fraction of their remaining time that callers wait at most before a retry.
	 */
	static final double HONOURED_FRACTION = 1 / 3.0;

	private final DoubleSupplier random;

	/**
	 * Creates a policy.
	 * @param random returns numbers from 0 to 1, which spread the retries
	 */
	public AdmissionPolicy(DoubleSupplier random) {
		this.random = random;
	}

	/**
	 * Returns the latest time at which the response to a queued request is worth the slot
	 * that it occupies.
	 * @param objectiveMillis the time from now within which a response has its full value
	 * @param limitMillis the remaining time
	 * @param priority the priority of the request, zero being the highest
	 * @param congested whether the servers of the region are congested
	 * @return the time in milliseconds from now
	 */
	public double latestResponseMillis(double objectiveMillis, double limitMillis, int priority, boolean congested) {
		int rank = Math.max(0, Math.min(CONGESTED_FRACTION_BY_PRIORITY.length - 1, priority));
		if (congested) {
			return Math.min(limitMillis, objectiveMillis * CONGESTED_FRACTION_BY_PRIORITY[rank]);
		}
		return (limitMillis <= objectiveMillis) ? limitMillis
				: objectiveMillis + (limitMillis - objectiveMillis) * UNCONGESTED_FRACTION_BY_PRIORITY[rank];
	}

	/**
	 * Returns the delay before a retry of a request that was refused because of load.
	 * @param excessMillis the time by which the expected response misses the latest
	 * useful time
	 * @return the time in milliseconds
	 */
	public double retryAfterMillis(double excessMillis) {
		double minimumDelayMillis = Math.max(MINIMUM_RETRY_DELAY_MILLIS,
				Math.min(MAXIMUM_RETRY_DELAY_MILLIS, excessMillis));
		return minimumDelayMillis * (1 + this.random.getAsDouble());
	}

	/**
	 * Returns the delay before a retry of a request that was refused because of the load
	 * of all servers. Delays longer than those that callers honour would be shortened to
	 * the same time, so the spread lies within it.
	 * @param excessMillis the time in which the servers complete the excess work
	 * @param remainingMillis the remaining time of the caller
	 * @return the time in milliseconds
	 */
	public double retryAfterMillis(double excessMillis, double remainingMillis) {
		double maximumMillis = remainingMillis * HONOURED_FRACTION;
		double minimumMillis = Math.min(Math.max(MINIMUM_RETRY_DELAY_MILLIS, excessMillis), maximumMillis / 2);
		return minimumMillis * (1 + this.random.getAsDouble());
	}

}
