package io.masticlane.placement;

/**
 * Detects congestion of the servers of a region from samples of their slot utilization.
 * Utilization is averaged exponentially, and separate thresholds for the start and the
 * end of congestion provide hysteresis.
 */
final class CongestionDetector {

	/**
	 * The average utilization above which servers become congested.
	 */
	private static final double CONGESTION_START_UTILIZATION = 0.85;

	/**
	 * The average utilization at or below which servers stop being congested.
	 */
	private static final double CONGESTION_END_UTILIZATION = 0.65;

	/**
	 * The weight of a sample in the moving average, at four samples per second.
	 */
	private static final double SAMPLE_WEIGHT = 0.4;

	private double utilization;

	private boolean congested;

	void update(double sample) {
		this.utilization += SAMPLE_WEIGHT * (sample - this.utilization);
		this.congested = this.utilization > (this.congested ? CONGESTION_END_UTILIZATION
				: CONGESTION_START_UTILIZATION);
	}

	boolean isCongested() {
		return this.congested;
	}

}
