package io.masticlane.admission;

/**
 * The retries that this gateway may send to a service: a part of the fleet's budget that
 * needs no agreement, since each gateway earns by its own requests.
 */
public final class RetryAllowance {

	/**
	 * The part of the fleet's budget that is used, as windows slide.
	 */
	private static final double USED = 0.5;

	private double earned;

	private double tokens;

	private double largest;

	/**
	 * Creates an allowance.
	 * @param ratio the retries that a request allows over the whole fleet
	 */
	public RetryAllowance(double ratio) {
		this.earned = ratio * USED;
	}

	/**
	 * Sets the ratio.
	 * @param ratio the retries that a request allows over the whole fleet
	 */
	public void ratio(double ratio) {
		this.earned = ratio * USED;
	}

	/**
	 * Divides the fleet's slack.
	 * @param slack the retries in a window besides the ratio, over the whole fleet
	 * @param gateways the number of gateways
	 */
	public void divide(double slack, int gateways) {
		double former = this.largest;
		this.largest = slack * USED / Math.max(1, gateways);
		this.tokens = Math.min(this.largest, this.tokens + Math.max(0, this.largest - former) * USED);
	}

	/**
	 * Counts a request.
	 */
	public void countRequest() {
		this.tokens = Math.min(this.largest, this.tokens + this.earned);
	}

	/**
	 * Takes one retry.
	 * @return whether a retry was left
	 */
	public boolean tryAcquire() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
