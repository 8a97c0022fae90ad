package io.masticlane.admission;

/**
 * The retries that this gateway may send to a service: a fraction of the budget of all
 * gateways, which needs no coordination since each gateway adds tokens for its own
 * requests.
 */
public final class RetryAllowance {

	/**
	 * The fraction of the budget that is used, because the budget applies to sliding
	 * windows.
	 */
	private static final double BUDGET_FRACTION = 0.5;

	private double tokensPerRequest;

	private double tokens;

	private double capacity;

	/**
	 * Creates an allowance.
	 * @param ratio the retries per request over all gateways
	 */
	public RetryAllowance(double ratio) {
		this.tokensPerRequest = ratio * BUDGET_FRACTION;
	}

	/**
	 * Sets the ratio.
	 * @param ratio the retries per request over all gateways
	 */
	public void ratio(double ratio) {
		this.tokensPerRequest = ratio * BUDGET_FRACTION;
	}

	/**
	 * Divides the slack among the gateways.
	 * @param slack the retries in a window in addition to the ratio, over all gateways
	 * @param gateways the number of gateways
	 */
	public void divide(double slack, int gateways) {
		double previous = this.capacity;
		this.capacity = slack * BUDGET_FRACTION / Math.max(1, gateways);
		this.tokens = Math.min(this.capacity, this.tokens + Math.max(0, this.capacity - previous) * BUDGET_FRACTION);
	}

	/**
	 * Counts a request, which adds tokens.
	 */
	public void countRequest() {
		this.tokens = Math.min(this.capacity, this.tokens + this.tokensPerRequest);
	}

	/**
	 * Acquires a token for one retry.
	 * @return whether the retry is within the budget
	 */
	public boolean tryAcquire() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
