package io.masticlane.limit;

import java.util.concurrent.TimeUnit;

/**
 * An exponentially weighted moving average of the tokens requested per second.
 */
final class Demand {

	private static final double WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final double WINDOW_SECONDS = 2;

	private double perSecond;

	private long updatedAt;

	Demand(long now) {
		this.updatedAt = now;
	}

	void record(double tokens, long now) {
		this.perSecond = perSecond(now) + tokens / WINDOW_SECONDS;
		this.updatedAt = now;
	}

	double perSecond(long now) {
		return this.perSecond * Math.exp(-Math.max(0, now - this.updatedAt) / WINDOW_NANOS);
	}

}
