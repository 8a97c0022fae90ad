package io.masticlane.placement;

/**
 * Follows whether the servers of a region have hardly a free slot.
 */
final class CongestionDetector {

	/**
	 * The part of the slots in use from which servers are crowded, and below which they
	 * are not any more.
	 */
	private static final double CROWDED = 0.85;

	private static final double UNCROWDED = 0.65;

	/**
	 * The weight of a sample; four of them are taken in a second.
	 */
	private static final double SAMPLE_WEIGHT = 0.4;

	private double load;

	private boolean crowded;

	void update(double sample) {
		this.load += SAMPLE_WEIGHT * (sample - this.load);
		this.crowded = this.load > (this.crowded ? UNCROWDED : CROWDED);
	}

	boolean isCongested() {
		return this.crowded;
	}

}
