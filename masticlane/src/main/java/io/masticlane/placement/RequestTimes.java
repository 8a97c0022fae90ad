package io.masticlane.placement;

/**
 * The times of the last requests that were sent to a backend server. Only the newest ones
 * are kept, so that a request costs no allocation.
 */
final class RequestTimes {

	/**
	 * The number of kept times, more than a cold server may receive in a second.
	 */
	static final int CAPACITY = 64;

	private final long[] times = new long[CAPACITY];

	private long count;

	/**
	 * Adds a request.
	 * @param now the current time in nanoseconds
	 */
	void add(long now) {
		this.times[(int) (this.count++ % CAPACITY)] = now;
	}

	/**
	 * Returns the number of requests after a time.
	 * @param start the time in nanoseconds
	 * @return the number, at most {@link #CAPACITY}
	 */
	int countAfter(long start) {
		int after = 0;
		long oldest = Math.max(0, this.count - CAPACITY);
		for (long index = this.count - 1; index >= oldest
				&& this.times[(int) (index % CAPACITY)] - start > 0; index--) {
			after++;
		}
		return after;
	}

}
