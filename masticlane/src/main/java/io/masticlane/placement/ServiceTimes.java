package io.masticlane.placement;

/**
 * How long a route's requests take at a backend server, apart for objects that it served
 * lately.
 */
public final class ServiceTimes {

	private static final double SAMPLE_WEIGHT = 0.05;

	/**
	 * The times before anything was measured, as parts of the route's objective.
	 */
	private static final double INITIAL_WARM = 0.5;

	private static final double INITIAL_UNKNOWN = 1.4;

	private double warmMillis;

	private double unknownMillis;

	/**
	 * Creates the times of a route.
	 * @param objectiveMillis the objective of the route
	 */
	public ServiceTimes(long objectiveMillis) {
		this.warmMillis = objectiveMillis * INITIAL_WARM;
		this.unknownMillis = objectiveMillis * INITIAL_UNKNOWN;
	}

	/**
	 * Takes a measured time of a request that found a free slot.
	 * @param millis the time in milliseconds
	 * @param warm whether the server had served the object lately
	 */
	public void recordSample(double millis, boolean warm) {
		if (warm) {
			this.warmMillis += SAMPLE_WEIGHT * (millis - this.warmMillis);
		}
		else {
			this.unknownMillis += SAMPLE_WEIGHT * (millis - this.unknownMillis);
		}
	}

	/**
	 * Returns the expected time of a request.
	 * @param warm whether the server has served the object lately
	 * @return the expected time in milliseconds
	 */
	public double expectedMillis(boolean warm) {
		return warm ? this.warmMillis : Math.max(this.warmMillis, this.unknownMillis);
	}

}
