package io.masticlane.admission;

import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * The times at which requests that were refused for lack of memory may return. They
 * follow each other at the rate at which memory is freed.
 */
public final class ReturnTimes {

	/**
	 * The time constant of the average rate: several responses of 500 kB are read within
	 * it over a link of 7 Mbit/s.
	 */
	private static final double RATE_SECONDS = 2;

	/**
	 * The minimum time between two observations of the rate, in seconds.
	 */
	private static final double MINIMUM_INTERVAL_SECONDS = 0.1;

	/**
	 * The part of the maximum delay over which requests return for which no memory is
	 * expected within it. They come while others leave, or try another gateway.
	 */
	private static final double LATE_SPREAD = 0.5;

	/**
	 * The fraction by which the other requests return later than memory is expected.
	 */
	private static final double SPREAD = 1.0 / 3;

	private final DoubleSupplier random;

	private double bytesPerSecond;

	private long observedBytes;

	private long observedAt;

	private long latestReturnAt;

	/**
	 * Creates the times.
	 * @param random returns numbers from 0 to 1, which spread the returns
	 * @param now the current time in nanoseconds
	 */
	public ReturnTimes(DoubleSupplier random, long now) {
		this.random = random;
		this.observedAt = now;
		this.latestReturnAt = now;
	}

	/**
	 * Observes the rate at which memory is freed.
	 * @param freedBytes the bytes that were freed since the start
	 * @param now the current time in nanoseconds
	 */
	public void observe(long freedBytes, long now) {
		double seconds = (now - this.observedAt) / (double) TimeUnit.SECONDS.toNanos(1);
		if (seconds >= MINIMUM_INTERVAL_SECONDS) {
			double weight = 1 - Math.exp(-seconds / RATE_SECONDS);
			this.bytesPerSecond += weight * ((freedBytes - this.observedBytes) / seconds - this.bytesPerSecond);
			this.observedBytes = freedBytes;
			this.observedAt = now;
		}
	}

	/**
	 * Returns the rate at which memory is freed.
	 * @return the rate in bytes per second
	 */
	public long bytesPerSecond() {
		return Math.round(this.bytesPerSecond);
	}

	/**
	 * Returns the delay after which a refused request may return. Each refusal delays the
	 * next return by the time in which the memory for this one is freed.
	 * @param bytes the memory that the request needs
	 * @param remainingMillis the remaining time of the caller
	 * @param now the current time in nanoseconds
	 * @return the time in milliseconds
	 */
	public double retryAfterMillis(long bytes, long remainingMillis, long now) {
		double maximumMillis = Math.max(AdmissionPolicy.MINIMUM_RETRY_DELAY_MILLIS,
				remainingMillis * AdmissionPolicy.HONOURED_FRACTION);
		double queuedMillis = Math.max(0, this.latestReturnAt - now) / (double) TimeUnit.MILLISECONDS.toNanos(1);
		double expectedMillis = queuedMillis + bytes / Math.max(1, this.bytesPerSecond) * TimeUnit.SECONDS.toMillis(1);
		this.latestReturnAt = now + (long) (Math.min(maximumMillis, expectedMillis) * TimeUnit.MILLISECONDS.toNanos(1));
		double earliestMillis = Math.min(expectedMillis, maximumMillis * (1 - LATE_SPREAD));
		double latestMillis = Math.min(expectedMillis * (1 + SPREAD), maximumMillis);
		return Math.max(AdmissionPolicy.MINIMUM_RETRY_DELAY_MILLIS,
				earliestMillis + (latestMillis - earliestMillis) * this.random.getAsDouble());
	}

}
