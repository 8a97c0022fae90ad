package io.masticlane.limit;

/**
 * A token bucket on the monotonic clock that starts empty.
 */
public final class TokenBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	private double rate;

	private double burst;

	private double level;

	private long updated;

	/**
	 * Creates a new empty bucket without rate and burst.
	 * @param now the present in nanoseconds
	 */
	public TokenBucket(long now) {
		this.updated = now;
	}

	/**
	 * Gives the bucket another rate and burst; tokens above the burst are lost.
	 * @param rate the rate in tokens per second
	 * @param burst the most tokens that the bucket holds
	 * @param now the present in nanoseconds
	 */
	public void resize(double rate, double burst, long now) {
		refill(now);
		this.rate = rate;
		this.burst = burst;
		this.level = Math.min(this.level, burst);
	}

	/**
	 * Takes tokens, if there are enough.
	 * @param tokens the tokens to take
	 * @param now the present in nanoseconds
	 * @return whether the tokens were taken
	 */
	public boolean tryAcquire(double tokens, long now) {
		refill(now);
		if (this.level < tokens) {
			return false;
		}
		this.level -= tokens;
		return true;
	}

	/**
	 * Returns the tokens in the bucket.
	 * @param now the present in nanoseconds
	 * @return the tokens in the bucket
	 */
	public double level(long now) {
		refill(now);
		return this.level;
	}

	/**
	 * Returns the time until tokens are there at the present rate.
	 * @param tokens the tokens
	 * @param now the present in nanoseconds
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} if the bucket never
	 * holds them
	 */
	public long nanosUntilAvailable(double tokens, long now) {
		double missing = tokens - level(now);
		if (missing <= 0) {
			return 0;
		}
		boolean reachable = tokens <= this.burst && this.rate > 0;
		return reachable ? (long) Math.ceil(missing / this.rate * NANOS_PER_SECOND) : Long.MAX_VALUE;
	}

	/**
	 * Adds tokens; those above the burst are lost.
	 * @param tokens the tokens to add
	 * @param now the present in nanoseconds
	 */
	public void add(double tokens, long now) {
		refill(now);
		this.level = Math.min(this.burst, this.level + tokens);
	}

	private void refill(long now) {
		long elapsed = now - this.updated;
		if (elapsed > 0) {
			this.level = Math.min(this.burst, this.level + this.rate * elapsed / NANOS_PER_SECOND);
			this.updated = now;
		}
	}

}
