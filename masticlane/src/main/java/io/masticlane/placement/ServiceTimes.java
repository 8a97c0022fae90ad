package io.masticlane.placement;

/**
 * The moving averages of the time that a route's requests take at a backend server, kept
 * separately for warm objects, which the server recently served, and others.
 */
public final class ServiceTimes {

	private static final double SAMPLE_WEIGHT = 0.05;

	/**
	 * The initial time for warm objects, as a fraction of the route's objective.
	 */
	private static final double INITIAL_WARM_FRACTION = 0.5;

	/**
	 * The initial time for other objects, as a fraction of the route's objective.
	 */
	private static final double INITIAL_OTHER_FRACTION = 1.4;

	private double warmMillis;

	private double otherMillis;

	/**
	 * Creates the times of a route.
	 * @param objectiveMillis the response time objective of the route
	 */
	public ServiceTimes(long objectiveMillis) {
		this.warmMillis = objectiveMillis * INITIAL_WARM_FRACTION;
		this.otherMillis = objectiveMillis * INITIAL_OTHER_FRACTION;
	}

	/**
	 * Records the measured time of a request for which a slot was free.
	 * @param millis the time in milliseconds
	 * @param warm whether the object was warm on the server
	 */
	public void recordSample(double millis, boolean warm) {
		if (warm) {
			this.warmMillis += SAMPLE_WEIGHT * (millis - this.warmMillis);
		}
		else {
			this.otherMillis += SAMPLE_WEIGHT * (millis - this.otherMillis);
		}
	}

	/**
	 * Returns the expected time of a request.
	 * @param warm whether the object is warm on the server
	 * @return the expected time in milliseconds
	 */
	public double expectedMillis(boolean warm) {
		return warm ? this.warmMillis : Math.max(this.warmMillis, this.otherMillis);
	}

}
