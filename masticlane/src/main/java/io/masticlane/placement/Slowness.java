package io.masticlane.placement;

import java.util.concurrent.TimeUnit;

/**
 * How much longer a server takes than expected, as a moving average of the ratios of its
 * measured to its expected response times. A server is slow because of its host or
 * because it evicts objects before their next request; in both cases, its queue is longer
 * than the number of its requests suggests.
 */
final class Slowness {

	private static final double SAMPLE_WEIGHT = 0.3;

	/**
	 * The largest ratio that counts, so that a server is not avoided because of a single
	 * response.
	 */
	private static final double MAXIMUM_RATIO = 8;

	/**
	 * The factor of the ratio of a request that timed out, which would have taken longer.
	 */
	private static final double TIMEOUT_FACTOR = 1.5;

	/**
	 * The time constant with which the average returns to 1 without further samples, so
	 * that a server that recovered receives requests again.
	 */
	private static final double DECAY_SECONDS = 6;

	private double factor = 1;

	private long updatedAt;

	/**
	 * Records a response.
	 * @param measuredMillis the measured response time
	 * @param expectedMillis the expected response time of a server that is not slow
	 * @param now the current time in nanoseconds
	 */
	void recordResponse(double measuredMillis, double expectedMillis, long now) {
		record(measuredMillis / Math.max(1, expectedMillis), now);
	}

	/**
	 * Records a request without a response in time.
	 * @param elapsedMillis the time since the request was sent
	 * @param expectedMillis the expected response time of a server that is not slow
	 * @param now the current time in nanoseconds
	 */
	void recordTimeout(double elapsedMillis, double expectedMillis, long now) {
		double ratio = elapsedMillis / Math.max(1, expectedMillis) * TIMEOUT_FACTOR;
		if (ratio > factor(now)) {
			record(ratio, now);
		}
	}

	/**
	 * Returns the factor by which the server takes longer than expected.
	 * @param now the current time in nanoseconds
	 * @return the factor, at least 1
	 */
	double factor(long now) {
		if (this.factor <= 1) {
			return 1;
		}
		double seconds = (now - this.updatedAt) / (double) TimeUnit.SECONDS.toNanos(1);
		return 1 + (this.factor - 1) * Math.exp(-seconds / DECAY_SECONDS);
	}

	private void record(double ratio, long now) {
		double current = factor(now);
		this.factor = Math.max(1, current + SAMPLE_WEIGHT * (Math.min(MAXIMUM_RATIO, ratio) - current));
		this.updatedAt = now;
	}

}
