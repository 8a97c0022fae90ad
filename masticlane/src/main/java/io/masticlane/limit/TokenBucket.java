package io.masticlane.limit;

/**
 * A token bucket on the monotonic clock that starts empty.
 */
public final class TokenBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	private double rate;

	private double burst;

	private double level;

	private long updatedAt;

	/**
	 * Creates a new empty bucket without rate and burst.
	 * @param now the current time in nanoseconds
	 */
	public TokenBucket(long now) {
		this.updatedAt = now;
	}

	/**
	 * Changes the rate and burst; tokens above the burst are discarded.
	 * @param rate the rate in tokens per second
	 * @param burst the maximum number of tokens in the bucket
	 * @param now the current time in nanoseconds
	 */
	public void resize(double rate, double burst, long now) {
		refill(now);
		this.rate = rate;
		this.burst = burst;
		this.level = Math.min(this.level, burst);
	}

	/**
	 * Acquires tokens if enough are available.
	 * @param tokens the number of tokens
	 * @param now the current time in nanoseconds
	 * @return whether the tokens were acquired
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
	 * Returns the number of available tokens.
	 * @param now the current time in nanoseconds
	 * @return the number of available tokens
	 */
	public double level(long now) {
		refill(now);
		return this.level;
	}

	/**
	 * Returns the time until tokens are available at the current rate.
	 * @param tokens the number of tokens
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} if the bucket can never
	 * hold them
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
	 * Adds tokens; those above the burst are discarded.
	 * @param tokens the number of tokens
	 * @param now the current time in nanoseconds
	 */
	public void add(double tokens, long now) {
		refill(now);
		this.level = Math.min(this.burst, this.level + tokens);
	}

	private void refill(long now) {
		long elapsed = now - this.updatedAt;
		if (elapsed > 0) {
			this.level = Math.min(this.burst, this.level + this.rate * elapsed / NANOS_PER_SECOND);
			this.updatedAt = now;
		}
	}

}
