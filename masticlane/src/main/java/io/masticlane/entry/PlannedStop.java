package io.masticlane.entry;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Waits for the end of traffic in a planned stop, after callers were steered away.
 */
final class PlannedStop {

	private static final long POLL_INTERVAL_MILLIS = 20;

	/**
	 * The time without a new request after which callers count as moved away.
	 */
	private static final long QUIET_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * The longest wait for a quiet period after the look-ups have expired.
	 */
	private static final long MAXIMUM_QUIET_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final long deadline;

	private final long lookUpExpiry;

	private final long quietWaitEnd;

	/**
	 * Creates a new planned stop that begins at the current time.
	 * @param maximumDuration the longest duration of the stop
	 * @param lookUpLifetime the time for which callers may use a cached look-up
	 */
	PlannedStop(Duration maximumDuration, Duration lookUpLifetime) {
		long now = System.nanoTime();
		this.deadline = now + maximumDuration.toNanos();
		this.lookUpExpiry = now + lookUpLifetime.toNanos();
		this.quietWaitEnd = this.lookUpExpiry + MAXIMUM_QUIET_WAIT_NANOS;
	}

	/**
	 * Waits until callers no longer send requests, then until the requests in flight have
	 * completed and all connections are closed.
	 * @param arrivals returns the number of requests received since the start
	 * @param inFlight returns the number of requests in flight
	 * @param closeIdle closes idle connections and returns how many were open
	 */
	void run(LongSupplier arrivals, IntSupplier inFlight, IntSupplier closeIdle) {
		long lastArrivals = arrivals.getAsLong();
		long quietSince = System.nanoTime();
		while (!isPast(this.lookUpExpiry) || (!isPast(quietSince + QUIET_PERIOD_NANOS) && !isPast(this.quietWaitEnd))) {
			if (isPast(this.deadline) || !pause()) {
				return;
			}
			if (arrivals.getAsLong() != lastArrivals) {
				lastArrivals = arrivals.getAsLong();
				quietSince = System.nanoTime();
			}
		}
		while (closeIdle.getAsInt() > 0 || inFlight.getAsInt() > 0) {
			if (isPast(this.deadline) || !pause()) {
				return;
			}
		}
	}

	private static boolean isPast(long time) {
		return time - System.nanoTime() <= 0;
	}

	private static boolean pause() {
		try {
			Thread.sleep(POLL_INTERVAL_MILLIS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
