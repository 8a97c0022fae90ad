package io.masticlane.entry;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * A planned stop, after callers were steered away: waits for the end of traffic, and
 * admits requests that end in time.
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

	/**
	 * The fraction of a stop in which callers may receive the last responses.
	 */
	private static final double DELIVERY_FRACTION = 1.0 / 6;

	/**
	 * The longest time in which callers may receive the last responses.
	 */
	private static final long MAXIMUM_DELIVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final long servingEnd;

	private final long end;

	private final long lookUpExpiry;

	private final long quietWaitEnd;

	/**
	 * Creates a new planned stop that begins at the current time.
	 * @param maximumDuration the longest duration of the stop
	 * @param lookUpLifetime the time for which callers may use a cached look-up
	 */
	PlannedStop(Duration maximumDuration, Duration lookUpLifetime) {
		long now = System.nanoTime();
		this.end = now + maximumDuration.toNanos();
		this.servingEnd = this.end
				- Math.min(MAXIMUM_DELIVERY_NANOS, (long) (maximumDuration.toNanos() * DELIVERY_FRACTION));
		this.lookUpExpiry = now + lookUpLifetime.toNanos();
		this.quietWaitEnd = this.lookUpExpiry + MAXIMUM_QUIET_WAIT_NANOS;
	}

	/**
	 * Returns whether a request is admitted that arrives at the current time. As long as
	 * callers use cached look-ups, each request is until the time for serving is over.
	 * @param deadline the deadline of the request in nanoseconds
	 * @return whether the request is admitted
	 */
	boolean admits(long deadline) {
		return deadline - this.servingEnd <= 0 || (!isPast(this.lookUpExpiry) && !isPast(this.servingEnd));
	}

	/**
	 * Waits until callers no longer send requests, then until the requests in flight have
	 * completed and all connections are closed, or until the time for serving is over.
	 * @param arrivals returns the number of requests received since the start
	 * @param inFlight returns the number of requests in flight
	 * @param closeIdle closes idle connections and returns how many were open
	 */
	void run(LongSupplier arrivals, IntSupplier inFlight, IntSupplier closeIdle) {
		long lastArrivals = arrivals.getAsLong();
		long quietSince = System.nanoTime();
		while (!isPast(this.lookUpExpiry) || (!isPast(quietSince + QUIET_PERIOD_NANOS) && !isPast(this.quietWaitEnd))) {
			if (isPast(this.servingEnd) || !pause()) {
				return;
			}
			if (arrivals.getAsLong() != lastArrivals) {
				lastArrivals = arrivals.getAsLong();
				quietSince = System.nanoTime();
			}
		}
		while (closeIdle.getAsInt() > 0 || inFlight.getAsInt() > 0) {
			if (isPast(this.servingEnd) || !pause()) {
				return;
			}
		}
	}

	/**
	 * Waits until callers have received the last responses, or until the stop ends.
	 * @param closeIdle closes idle connections and returns how many were open
	 */
	void awaitDelivery(IntSupplier closeIdle) {
		boolean open = closeIdle.getAsInt() > 0;
		while (open && !isPast(this.end) && pause()) {
			open = closeIdle.getAsInt() > 0;
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
