package io.masticlane.steering;

/**
 * Allows retries in proportion to first attempts, so that failures cannot amplify the
 * load.
 */
final class RetryBudget {

	private static final double RETRIES_PER_ATTEMPT = 0.1;

	private static final double MAXIMUM_RETRIES = 10;

	private static final double RESERVED_RETRIES = 3;

	private double retries = MAXIMUM_RETRIES;

	/**
	 * Records a first attempt, which earns a fraction of a retry.
	 */
	void recordFirstAttempt() {
		this.retries = Math.min(MAXIMUM_RETRIES, this.retries + RETRIES_PER_ATTEMPT);
	}

	/**
	 * Returns whether an attempt that is likely to need a retry may use one. The budget
	 * keeps a reserve for other attempts.
	 * @return whether at least the reserve is left
	 */
	boolean hasSpareRetries() {
		return this.retries >= RESERVED_RETRIES;
	}

	/**
	 * Acquires a retry if one is left.
	 * @return whether the request may be retried
	 */
	boolean tryAcquire() {
		if (this.retries < 1) {
			return false;
		}
		this.retries--;
		return true;
	}

	/**
	 * Refunds a retry that was not needed.
	 */
	void refund() {
		this.retries = Math.min(MAXIMUM_RETRIES, this.retries + 1);
	}

}
