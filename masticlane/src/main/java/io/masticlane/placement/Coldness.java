package io.masticlane.placement;

import java.util.concurrent.TimeUnit;

/**
 * Whether a server is cold, or may be because it was unreachable, and the requests that
 * count against the bound of a cold one.
 */
final class Coldness {

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The period after a server was unreachable in which it may be cold if no entry
	 * reports its state; a server is cold for some seconds after its start.
	 */
	private static final long POSSIBLY_COLD_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final RequestTimes requestTimes = new RequestTimes();

	private long coldUntil;

	private boolean cold;

	private long warmAt;

	private boolean possiblyCold;

	private long unreachableAt;

	/**
	 * Creates the state of a server that is not cold.
	 * @param now the current time in nanoseconds
	 */
	Coldness(long now) {
		this.warmAt = now - SECOND_NANOS;
	}

	/**
	 * Records an entry of the server.
	 * @param restarted whether the server was started since the previous entry
	 * @param readDelayNanos the longest time between the writing of an entry and its
	 * reading, in nanoseconds
	 * @param coldMillis the time for which the server remains cold, in milliseconds, or
	 * zero
	 * @param now the current time in nanoseconds
	 */
	void recordEntry(boolean restarted, long readDelayNanos, long coldMillis, long now) {
		if (restarted || now - this.unreachableAt > readDelayNanos) {
			this.possiblyCold = false;
		}
		this.cold = false;
		if (coldMillis > 0) {
			markCold(coldMillis, now);
		}
	}

	/**
	 * Records that the server is cold.
	 * @param millis the time for which the server remains cold, in milliseconds
	 * @param now the current time in nanoseconds
	 */
	void markCold(long millis, long now) {
		this.cold = true;
		this.coldUntil = now + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Records that the server itself reported not to be cold.
	 * @param askedAt the time at which it was asked, in nanoseconds
	 */
	void recordWarm(long askedAt) {
		if (askedAt - this.warmAt > 0) {
			this.warmAt = askedAt;
		}
	}

	/**
	 * Records that the server is lost, after which it may be cold.
	 * @param now the current time in nanoseconds
	 */
	void recordLost(long now) {
		this.possiblyCold = true;
		this.unreachableAt = now;
	}

	/**
	 * Records the response to a request. One that was sent before the server was lost
	 * shows that the server was running all the time.
	 * @param sentAt the time at which the request was sent, in nanoseconds
	 * @return whether the server was not lost, although it was taken for lost
	 */
	boolean recordResponse(long sentAt) {
		boolean refuted = this.possiblyCold && sentAt - this.unreachableAt < 0;
		this.possiblyCold &= !refuted;
		return refuted;
	}

	/**
	 * Records that a request is sent to the server.
	 * @param now the current time in nanoseconds
	 */
	void recordRequestSent(long now) {
		this.requestTimes.add(now);
	}

	/**
	 * Returns whether the server is cold, or may be cold because it was unreachable.
	 * @param now the current time in nanoseconds
	 * @return whether the server is considered cold
	 */
	boolean isCold(long now) {
		if (this.cold && now - this.coldUntil >= 0) {
			this.cold = false;
		}
		if (this.possiblyCold && now - this.unreachableAt > POSSIBLY_COLD_NANOS) {
			this.possiblyCold = false;
		}
		return this.cold || this.possiblyCold;
	}

	/**
	 * Returns the number of requests that were sent in the last second and may have
	 * reached the server after it became cold.
	 * @param now the current time in nanoseconds
	 * @return the number of requests
	 */
	int requestsInLastSecond(long now) {
		long secondAgo = now - SECOND_NANOS;
		return this.requestTimes.countAfter((this.warmAt - secondAgo > 0) ? this.warmAt : secondAgo);
	}

}
