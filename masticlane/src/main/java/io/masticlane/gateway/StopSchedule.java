package io.masticlane.gateway;

import java.util.concurrent.TimeUnit;

/**
 * The schedule of a planned stop, which follows from the time between SIGTERM and
 * SIGKILL: until when requests are accepted and served, and which of them can still be
 * completed.
 *
 * @param startedAt the time of SIGTERM in nanoseconds
 * @param graceMillis the time from SIGTERM to SIGKILL in milliseconds
 */
record StopSchedule(long startedAt, long graceMillis) {

	/**
	 * The fraction of the grace period that is kept for the end of the process. It is
	 * less than the last sixth, in which a server that is still busy is expected to be
	 * cut off.
	 */
	private static final double END_MARGIN_FRACTION = 0.1;

	/**
	 * The longest time that is kept for the end of the process, in milliseconds.
	 */
	private static final long MAXIMUM_END_MARGIN_MILLIS = 600;

	/**
	 * The fraction of the time for the end that callers have to receive the last
	 * responses. The rest is for the end of the process itself.
	 */
	private static final double FINAL_WAIT_FRACTION = 0.25;

	/**
	 * The fraction of the time for serving after which no more connections are accepted
	 * and idle ones are closed. The rest is for requests in flight.
	 */
	private static final double LINGER_FRACTION = 0.7;

	/**
	 * The number of times to live for which some callers use a look-up.
	 */
	private static final int LOOK_UP_REUSE_FACTOR = 3;

	/**
	 * How long other gateways may return this one in look-ups, in milliseconds.
	 */
	private static final long LOOK_UP_SPREAD_MILLIS = 2 * GatewayTimes.REPORT_INTERVAL_MILLIS;

	private static final long LOOK_UP_TTL_MILLIS = (long) (GatewayTimes.LOOK_UP_TTL_SECONDS
			* TimeUnit.SECONDS.toMillis(1));

	/**
	 * Creates the schedule of a stop.
	 * @param startedAt the time of SIGTERM in nanoseconds
	 * @param graceSeconds the time from SIGTERM to SIGKILL in seconds
	 * @return the schedule
	 */
	static StopSchedule of(long startedAt, double graceSeconds) {
		return new StopSchedule(startedAt, (long) (graceSeconds * TimeUnit.SECONDS.toMillis(1)));
	}

	/**
	 * Returns how long the gateway accepts connections.
	 * @return the time after SIGTERM in milliseconds
	 */
	long lingerMillis() {
		return Math.min(LOOK_UP_REUSE_FACTOR * LOOK_UP_TTL_MILLIS + LOOK_UP_SPREAD_MILLIS,
				(long) (LINGER_FRACTION * servingMillis()));
	}

	/**
	 * Returns how long requests are still served.
	 * @param now the current time in nanoseconds
	 * @return the remaining time in milliseconds, negative after the end
	 */
	long remainingMillis(long now) {
		return servingMillis() - elapsedMillis(now);
	}

	/**
	 * Returns whether the process may still wait for its callers to receive the last
	 * responses.
	 * @param now the current time in nanoseconds
	 * @return whether the process ends later
	 */
	boolean endsLater(long now) {
		return elapsedMillis(now) < servingMillis() + (long) (FINAL_WAIT_FRACTION * endMarginMillis());
	}

	/**
	 * Returns the time since SIGTERM.
	 * @param now the current time in nanoseconds
	 * @return the time in milliseconds
	 */
	long elapsedMillis(long now) {
		return TimeUnit.NANOSECONDS.toMillis(now - this.startedAt);
	}

	/**
	 * Returns whether a request can be completed before the end. A request that its
	 * caller began while its look-up was valid is admitted if it will probably be
	 * completed; the caller of a later one could have known of the stop, so that the
	 * request is admitted only if it certainly ends in time.
	 * @param begunAt the time at which the first byte of the request was read, in
	 * nanoseconds
	 * @param now the current time in nanoseconds
	 * @param limitMillis the time after which the request ends in any case, in
	 * milliseconds
	 * @param expectedMillis the expected time of the request in milliseconds
	 * @return whether the request is to be sent to a server
	 */
	boolean admits(long begunAt, long now, long limitMillis, double expectedMillis) {
		boolean lookUpValid = elapsedMillis(begunAt) <= LOOK_UP_TTL_MILLIS + LOOK_UP_SPREAD_MILLIS;
		return (lookUpValid ? expectedMillis : limitMillis) <= remainingMillis(now);
	}

	private long servingMillis() {
		return this.graceMillis - endMarginMillis();
	}

	private long endMarginMillis() {
		return Math.min(MAXIMUM_END_MARGIN_MILLIS, (long) (this.graceMillis * END_MARGIN_FRACTION));
	}

}
