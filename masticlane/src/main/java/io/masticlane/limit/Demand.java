package io.masticlane.limit;

import java.util.concurrent.TimeUnit;

/**
 * An exponentially weighted moving average of the tokens asked for per second.
 */
final class Demand {

	private static final double WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final double WINDOW_SECONDS = 2;

	private double perSecond;

	private long updated;

	Demand(long now) {
		this.updated = now;
	}

	void record(double tokens, long now) {
		this.perSecond = perSecond(now) + tokens / WINDOW_SECONDS;
		this.updated = now;
	}

	double perSecond(long now) {
		return this.perSecond * Math.exp(-Math.max(0, now - this.updated) / WINDOW_NANOS);
	}

}
