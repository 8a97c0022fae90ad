package io.masticlane.steering;

/**
 * Allows retries in proportion to first attempts, so that failures never multiply the
 * load.
 */
final class RetryBudget {

	private static final double RETRIES_PER_ATTEMPT = 0.1;

	private static final double MOST_SAVED_RETRIES = 10;

	private static final double KEPT_RETRIES = 3;

	private double retries = MOST_SAVED_RETRIES;

	/**
	 * Counts a first attempt.
	 */
	void recordFirstAttempt() {
		this.retries = Math.min(MOST_SAVED_RETRIES, this.retries + RETRIES_PER_ATTEMPT);
	}

	/**
	 * Tells whether retries are left for an attempt that is likely to need one, so that
	 * some stay for the others.
	 * @return whether retries are left for an attempt that is likely to need one
	 */
	boolean hasSpareRetries() {
		return this.retries >= KEPT_RETRIES;
	}

	/**
	 * Takes a retry, if one is left.
	 * @return whether the request may be tried again
	 */
	boolean tryAcquire() {
		if (this.retries < 1) {
			return false;
		}
		this.retries--;
		return true;
	}

	/**
	 * Gives back a retry that was not needed.
	 */
	void refund() {
		this.retries = Math.min(MOST_SAVED_RETRIES, this.retries + 1);
	}

}
