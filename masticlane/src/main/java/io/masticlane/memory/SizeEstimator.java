package io.masticlane.memory;

import org.HdrHistogram.Histogram;

/**
 * Estimates the memory that the body of the next response needs, by the recent ones. The
 * estimate is above the mean, which half of the bodies exceed, and below the largest:
 * what a small body leaves of its reservation is free for larger ones as soon as its
 * length is known.
 */
public final class SizeEstimator {

	/**
	 * The estimate until enough responses were received. The first deployments have
	 * downloads of 90 to 540 kB.
	 */
	static final long FIRST_ESTIMATE_BYTES = 540_000;

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
	 * The estimate is half-way between the median and this percentile. For sizes spread
	 * evenly from 90 to 540 kB it is 416 kB, 100 kB above the mean. A few far larger
	 * bodies do not determine it: each reservation would take many times the memory that
	 * its body needs.
	 */
	private static final double UPPER_PERCENTILE = 95;

	private static final double MEDIAN = 50;

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
				: (recent.getValueAtPercentile(MEDIAN) + recent.getValueAtPercentile(UPPER_PERCENTILE)) / 2;
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
