package io.masticlane.entry;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * The steps of a planned stop after callers were steered away.
 */
final class PlannedStop {

	private static final long STEP_MILLIS = 20;

	private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long LONGEST_UNREST_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final long deadline;

	private final long expiry;

	private final long lastExpiry;

	/**
	 * Creates a new planned stop that begins now.
	 * @param longest the longest time that it takes
	 * @param lookUpLife the time for which callers may still use what they looked up
	 */
	PlannedStop(Duration longest, Duration lookUpLife) {
		long now = System.nanoTime();
		this.deadline = now + longest.toNanos();
		this.expiry = now + lookUpLife.toNanos();
		this.lastExpiry = this.expiry + LONGEST_UNREST_NANOS;
	}

	/**
	 * Waits until callers no longer send requests, then until those in flight are
	 * answered and all connections are closed.
	 * @param arrivals returns the requests that have arrived so far
	 * @param inFlight returns the requests in flight
	 * @param closeIdle closes idle connections and returns how many were open
	 */
	void run(LongSupplier arrivals, IntSupplier inFlight, IntSupplier closeIdle) {
		long seen = arrivals.getAsLong();
		long quietSince = System.nanoTime();
		while (!over(this.expiry) || (!over(quietSince + QUIET_NANOS) && !over(this.lastExpiry))) {
			if (over(this.deadline) || !pause()) {
				return;
			}
			if (arrivals.getAsLong() != seen) {
				seen = arrivals.getAsLong();
				quietSince = System.nanoTime();
			}
		}
		while (closeIdle.getAsInt() > 0 || inFlight.getAsInt() > 0) {
			if (over(this.deadline) || !pause()) {
				return;
			}
		}
	}

	private static boolean over(long time) {
		return time - System.nanoTime() <= 0;
	}

	private static boolean pause() {
		try {
			Thread.sleep(STEP_MILLIS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
