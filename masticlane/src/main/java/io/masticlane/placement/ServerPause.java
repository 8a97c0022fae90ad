package io.masticlane.placement;

import java.util.concurrent.TimeUnit;

/**
 * The pause that a server asked for, and the limit on the requests in flight with which
 * it returns from one.
 */
final class ServerPause {

	/**
	 * The longest pause that a server can ask for.
	 */
	private static final long MAXIMUM_PAUSE_NANOS = TimeUnit.MINUTES.toNanos(5);

	/**
	 * How long after a pause the requests in flight to the server are limited.
	 */
	private static final long RETURN_NANOS = TimeUnit.SECONDS.toNanos(10);

	private boolean paused;

	private long pausedUntil;

	private int returnLimit;

	/**
	 * Discards the pause of a server that was restarted.
	 */
	void clear() {
		this.paused = false;
		this.returnLimit = 0;
	}

	/**
	 * Records that the server wants no requests for a while.
	 * @param millis the time in milliseconds
	 * @param now the current time in nanoseconds
	 * @return whether the server was not pausing
	 */
	boolean record(long millis, long now) {
		boolean known = remainingMillis(now) > 0;
		long until = now + Math.min(MAXIMUM_PAUSE_NANOS, TimeUnit.MILLISECONDS.toNanos(millis));
		this.pausedUntil = known ? Math.max(this.pausedUntil, until) : until;
		this.paused = true;
		this.returnLimit = 1;
		return !known;
	}

	/**
	 * Records that the server served a request, which doubles the limit.
	 * @param sentAt the time at which the request was sent, in nanoseconds
	 * @param slots the slots of the server, beyond which there is no limit
	 */
	void recordServed(long sentAt, int slots) {
		if (sentAt - this.pausedUntil >= 0) {
			this.returnLimit = (2 * this.returnLimit <= slots) ? 2 * this.returnLimit : 0;
		}
	}

	/**
	 * Returns how long the server still wants no requests.
	 * @param now the current time in nanoseconds
	 * @return the time in milliseconds, or zero
	 */
	long remainingMillis(long now) {
		if (this.paused && now - this.pausedUntil >= 0) {
			this.paused = false;
		}
		return this.paused ? 1 + TimeUnit.NANOSECONDS.toMillis(this.pausedUntil - now) : 0;
	}

	/**
	 * Returns whether the server returns from a pause and has as many requests in flight
	 * as it may at present. The limit begins with one request and doubles with each
	 * response, so that the server is not turned away again by a wave of requests from
	 * all gateways.
	 * @param inFlight the requests in flight to the server
	 * @param now the current time in nanoseconds
	 * @return whether the server may receive no further request until another one ended
	 */
	boolean isReturnLimitReached(int inFlight, long now) {
		if (this.returnLimit > 0 && now - this.pausedUntil > RETURN_NANOS) {
			this.returnLimit = 0;
		}
		return this.returnLimit > 0 && inFlight >= this.returnLimit;
	}

}
