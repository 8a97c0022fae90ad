package io.masticlane.placement;

import java.util.concurrent.TimeUnit;

/**
 * The recent failures of a server, which is ejected for a while after several in a row or
 * after too many of its responses.
 */
final class ServerFailures {

	/**
	 * The duration of the first ejection; it doubles with each further one up to eight
	 * times as long.
	 */
	private static final long FIRST_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The maximum number of times that the duration of an ejection doubles.
	 */
	private static final int MAXIMUM_EJECTION_SHIFT = 3;

	/**
	 * The number of consecutive failures after which a server is ejected.
	 */
	private static final int FAILURES_BEFORE_EJECTION = 3;

	private static final double FAILURE_WEIGHT = 0.15;

	/**
	 * The moving average of failures above which a server is ejected although some
	 * requests succeed.
	 */
	private static final double EJECTION_FAILURE_RATIO = 0.35;

	private long ejectedUntil;

	private boolean ejected;

	private int ejections;

	private int consecutiveFailures;

	private double failureRatio;

	/**
	 * Discards the failures of a server that was restarted, but not how often it was
	 * ejected.
	 */
	void restart() {
		this.consecutiveFailures = 0;
		this.failureRatio = 0;
		this.ejected = false;
	}

	/**
	 * Records a response that the server itself produced.
	 * @param success whether the request was served
	 * @param now the current time in nanoseconds
	 */
	void recordResponse(boolean success, long now) {
		this.consecutiveFailures = 0;
		this.failureRatio += FAILURE_WEIGHT * ((success ? 0 : 1) - this.failureRatio);
		if (success) {
			if (!this.ejected) {
				this.ejections = 0;
			}
		}
		else if (this.failureRatio > EJECTION_FAILURE_RATIO) {
			this.failureRatio = 0;
			eject(now);
		}
	}

	/**
	 * Records that a response was lost or is unusable.
	 * @param now the current time in nanoseconds
	 */
	void recordFailure(long now) {
		this.consecutiveFailures++;
		if (this.consecutiveFailures >= FAILURES_BEFORE_EJECTION) {
			this.consecutiveFailures = 0;
			eject(now);
		}
	}

	/**
	 * Ejects the server, for longer the more often it was ejected without a success.
	 * @param now the current time in nanoseconds
	 */
	void eject(long now) {
		this.ejected = true;
		this.ejectedUntil = now + (FIRST_EJECTION_NANOS << Math.min(MAXIMUM_EJECTION_SHIFT, this.ejections));
		this.ejections++;
	}

	/**
	 * Ends the ejection.
	 */
	void readmit() {
		this.ejected = false;
	}

	/**
	 * Returns whether the server is ejected.
	 * @param now the current time in nanoseconds
	 * @return whether the server is ejected
	 */
	boolean isEjected(long now) {
		if (this.ejected && now - this.ejectedUntil >= 0) {
			this.ejected = false;
		}
		return this.ejected;
	}

}
