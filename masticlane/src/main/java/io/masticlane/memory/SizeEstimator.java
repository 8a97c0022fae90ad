package io.masticlane.memory;

import org.HdrHistogram.Histogram;

/**
 * Estimates the memory that the body of the next response needs, by the recent ones. The
 * estimate exceeds nearly all of them: a body that is larger than its reservation fails
 * if there is no room for the rest, after its server has run the request, while a
 * reservation that is too large is reduced as soon as the length of the body is known.
 */
public final class SizeEstimator {

	/**
	 * The estimate until enough responses were received. The first deployments have
	 * downloads of 90 to 540 kB.
	 */
	static final long FIRST_ESTIMATE_BYTES = 576 * 1024;

	/**
	 * The number of responses from which the estimate follows from them alone.
	 */
	private static final int SUFFICIENT_RESPONSES = 8;

	/**
	 * The number of responses of a generation. The current and the former generation are
	 * taken into account.
	 */
	private static final int GENERATION_RESPONSES = 64;

	/**
	 * The percentile of recent sizes. A few far larger bodies do not determine the
	 * estimate: each reservation would take many times the memory that its body needs.
	 */
	private static final double PERCENTILE = 95;

	/**
	 * Covers the few bodies above the percentile where sizes are evenly spread: for sizes
	 * of 90 to 540 kB, the percentile is 517 kB and the estimate 549 kB.
	 */
	private static final double MARGIN = 1.0625;

	private static final long UNIT_BYTES = 1024;

	private static final long LARGEST_BYTES = 1L << 32;

	private static final int SIGNIFICANT_DIGITS = 2;

	private Histogram current = newHistogram();

	private Histogram former = newHistogram();

	private long estimateBytes = FIRST_ESTIMATE_BYTES;

	/**
	 * Records the memory that the body of a response needed.
	 * @param bytes the number of bytes
	 */
	public void record(long bytes) {
		if (this.current.getTotalCount() >= GENERATION_RESPONSES) {
			this.former = this.current;
			this.current = newHistogram();
		}
		this.current.recordValue(Math.max(0, Math.min(LARGEST_BYTES, bytes)));
		Histogram recent = this.former.copy();
		recent.add(this.current);
		this.estimateBytes = (recent.getTotalCount() < SUFFICIENT_RESPONSES)
				? Math.max(FIRST_ESTIMATE_BYTES, recent.getMaxValue())
				: (long) (recent.getValueAtPercentile(PERCENTILE) * MARGIN);
	}

	/**
	 * Returns the estimate.
	 * @return the number of bytes
	 */
	public long estimateBytes() {
		return this.estimateBytes;
	}

	private static Histogram newHistogram() {
		return new Histogram(UNIT_BYTES, LARGEST_BYTES, SIGNIFICANT_DIGITS);
	}

}
