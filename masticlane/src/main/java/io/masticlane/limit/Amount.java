package io.masticlane.limit;

/**
 * A rate together with a burst.
 *
 * @param rate the rate in tokens per second
 * @param burst the most tokens that may be used at once
 */
record Amount(double rate, double burst) {

	static final Amount ZERO = new Amount(0, 0);

	Amount plus(Amount other) {
		return new Amount(this.rate + other.rate, this.burst + other.burst);
	}

	Amount minus(Amount other) {
		return new Amount(Math.max(0, this.rate - other.rate), Math.max(0, this.burst - other.burst));
	}

	Amount times(double factor) {
		return new Amount(this.rate * factor, this.burst * factor);
	}

	Amount atMost(Amount other) {
		return new Amount(Math.min(this.rate, other.rate), Math.min(this.burst, other.burst));
	}

	Amount atLeast(Amount other) {
		return new Amount(Math.max(this.rate, other.rate), Math.max(this.burst, other.burst));
	}

	boolean nothing() {
		return this.rate <= 0 && this.burst <= 0;
	}

}
