package io.masticlane.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The time that is left for one request: until its caller and its route expect the
 * response, or until a leaving gateway ends.
 */
final class RequestClock {

	/**
	 * How long before the caller's own timeout the gateway stops waiting for a response,
	 * in milliseconds: the latency of the return path to the caller.
	 */
	private static final long RETURN_LATENCY_MILLIS = 5;

	private final long arrivedAt;

	private final Supplier<Optional<StopSchedule>> stop;

	private long limitMillis;

	/**
	 * Starts the clock of a request.
	 * @param arrivedAt the time at which the last byte of the request was read, in
	 * nanoseconds
	 * @param stop the schedule of the planned stop, empty if the gateway is not leaving
	 */
	RequestClock(long arrivedAt, Supplier<Optional<StopSchedule>> stop) {
		this.arrivedAt = arrivedAt;
		this.stop = stop;
	}

	/**
	 * Sets the time that the request may take.
	 * @param callerMillis how long the caller waits, in milliseconds
	 * @param routeMillis the timeout of the route in milliseconds, or zero for none
	 */
	void limit(long callerMillis, long routeMillis) {
		this.limitMillis = Math.min(callerMillis - RETURN_LATENCY_MILLIS,
				(routeMillis > 0) ? routeMillis : Long.MAX_VALUE);
	}

	/**
	 * Returns the time since the request arrived.
	 * @return the time in milliseconds
	 */
	long ageMillis() {
		return TimeUnit.NANOSECONDS.toMillis(ageNanos());
	}

	/**
	 * Returns the time since the request arrived.
	 * @return the time in nanoseconds
	 */
	long ageNanos() {
		return System.nanoTime() - this.arrivedAt;
	}

	/**
	 * Returns the time until the caller and the route expect the response.
	 * @return the time in milliseconds, negative after it
	 */
	long ownRemainingMillis() {
		return this.limitMillis - ageMillis();
	}

	/**
	 * Returns the time until the caller and the route expect the response, or until a
	 * leaving gateway ends.
	 * @return the time in milliseconds, negative after it
	 */
	long remainingMillis() {
		return this.stop.get()
			.map((schedule) -> Math.min(ownRemainingMillis(), schedule.remainingMillis(System.nanoTime())))
			.orElseGet(this::ownRemainingMillis);
	}

}
