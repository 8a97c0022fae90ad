package io.masticlane.placement;

import java.util.concurrent.TimeUnit;

/**
 * A chosen server.
 *
 * @param server the server
 * @param expectedMillis the expected response time
 * @param slotFree whether a slot is expected to be free
 * @param warm whether the server served the object for this gateway within the period for
 * which objects are assumed to stay warm
 * @param expectedWarmMillis the expected response time if the object is warm on the
 * server
 * @param usualMillis the response time that is usual for a server that is not slow, with
 * the same queue
 * @param cautiousMillis the response time if the object is warm only where this gateway
 * knows it, and the server is as slow as recently
 * @param reason why the server's region was chosen
 */
public record PlacementChoice(ServerState server, double expectedMillis, boolean slotFree, boolean warm,
		double expectedWarmMillis, double usualMillis, double cautiousMillis, PlacementReason reason) {

	/**
	 * Returns the expected response time that decides about the admission of the request.
	 * Where servers are congested, objects are assumed to be warm, unless the request may
	 * be served in certain regions only: such requests cannot be relieved by other
	 * regions, and if they were admitted in the hope of warm objects, all would time out
	 * before any object is warm.
	 * @param congested whether the servers of the region are congested
	 * @param bound whether only certain regions may serve the request
	 * @return the time in milliseconds
	 */
	public double admissionMillis(boolean congested, boolean bound) {
		if (!congested) {
			return this.expectedMillis;
		}
		return bound ? this.cautiousMillis : this.expectedWarmMillis;
	}

	/**
	 * Records the response to the request.
	 * @param millis the response time
	 * @param now the current time in nanoseconds
	 */
	public void recordResponseTime(double millis, long now) {
		this.server.slowness().recordResponse(millis, this.usualMillis, now);
	}

	/**
	 * Records that the request had no response in time.
	 * @param sentAt the time at which the request was sent, in nanoseconds
	 * @param now the current time in nanoseconds
	 */
	public void recordTimeout(long sentAt, long now) {
		this.server.recordTimeout(sentAt, now);
		this.server.slowness()
			.recordTimeout((now - sentAt) / (double) TimeUnit.MILLISECONDS.toNanos(1), this.usualMillis, now);
	}

	/**
	 * Returns this choice with another reason.
	 * @param other why the server's region was chosen
	 * @return the choice with that reason
	 */
	public PlacementChoice withReason(PlacementReason other) {
		return new PlacementChoice(this.server, this.expectedMillis, this.slotFree, this.warm, this.expectedWarmMillis,
				this.usualMillis, this.cautiousMillis, other);
	}

}
