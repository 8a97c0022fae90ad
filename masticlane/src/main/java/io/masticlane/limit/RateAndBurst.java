package io.masticlane.limit;

/**
 * The rate and burst of a token bucket.
 *
 * @param rate the rate in tokens per second
 * @param burst the maximum number of tokens that may be used at once
 */
record RateAndBurst(double rate, double burst) {

	static final RateAndBurst ZERO = new RateAndBurst(0, 0);

	RateAndBurst plus(RateAndBurst other) {
		return new RateAndBurst(this.rate + other.rate, this.burst + other.burst);
	}

	RateAndBurst minus(RateAndBurst other) {
		return new RateAndBurst(Math.max(0, this.rate - other.rate), Math.max(0, this.burst - other.burst));
	}

	RateAndBurst times(double factor) {
		return new RateAndBurst(this.rate * factor, this.burst * factor);
	}

	RateAndBurst min(RateAndBurst other) {
		return new RateAndBurst(Math.min(this.rate, other.rate), Math.min(this.burst, other.burst));
	}

	RateAndBurst max(RateAndBurst other) {
		return new RateAndBurst(Math.max(this.rate, other.rate), Math.max(this.burst, other.burst));
	}

	boolean isZero() {
		return this.rate <= 0 && this.burst <= 0;
	}

}
