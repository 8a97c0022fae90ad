package io.masticlane.admission;

import java.util.concurrent.TimeUnit;

/**
 * The fraction of the demanded work that a gateway admits to the servers of a service in
 * a region. It falls while the servers have queues and rises otherwise. All gateways
 * observe the same servers, and a higher level falls faster than a lower one under the
 * same queues, so that the levels of gateways approach each other without messages.
 */
final class OverloadLevel {

	/**
	 * The lowest level, below the inverse of the largest burst of 2.5 times the usual
	 * demand with all objects cold.
	 */
	static final double MINIMUM = 0.15;

	/**
	 * The fraction of the most urgent objective that requests may wait in the queues of
	 * servers before the level falls.
	 */
	private static final double WAIT_FRACTION = 0.2;

	/**
	 * The bounds of the queued requests for each slot at which the level stays at 1; the
	 * upper one is what a server would queue at most, the lower one what an uneven
	 * distribution over servers causes without overload.
	 */
	private static final double MINIMUM_QUEUED_PER_SLOT = 0.1;

	private static final double MAXIMUM_QUEUED_PER_SLOT = 1;

	/**
	 * The increase of the level per second. After a burst, all requests are admitted
	 * again within 5 s; the differences between gateways halve about every 2 s.
	 */
	private static final double INCREASE_PER_SECOND = 0.2;

	/**
	 * The increase of the level per second without reports, which admits all requests
	 * again within 10 s. What the servers refuse by themselves then brings reports.
	 */
	private static final double UNKNOWN_INCREASE_PER_SECOND = 0.085;

	/**
	 * The ratio of the queues to the permitted ones that counts at most, so that the
	 * level falls by at most half within a second.
	 */
	private static final double MAXIMUM_PRESSURE = 4;

	/**
	 * The time constant of the average of the utilization. A gateway hears from a tenth
	 * of the servers at a time in the largest deployments.
	 */
	private static final double AVERAGING_SECONDS = 0.5;

	/**
	 * The longest period that one step covers, as a process may have been paused.
	 */
	private static final double MAXIMUM_STEP_SECONDS = 0.5;

	private double value = 1;

	private double utilization;

	private double queuedPerSlot = MINIMUM_QUEUED_PER_SLOT;

	private long updatedAt;

	private boolean known;

	/**
	 * Updates the level.
	 * @param room what the servers can take
	 * @param objectiveMillis the shortest objective of the most urgent requests
	 * @param workMillis the mean work of a request
	 * @param now the current time in nanoseconds
	 */
	void update(Room room, double objectiveMillis, double workMillis, long now) {
		double seconds = Math.max(0,
				Math.min(MAXIMUM_STEP_SECONDS, (now - this.updatedAt) / (double) TimeUnit.SECONDS.toNanos(1)));
		this.updatedAt = now;
		if (room.reportedSlots() <= 0) {
			this.known = false;
			this.utilization = 0;
			this.value = Math.min(1, this.value + UNKNOWN_INCREASE_PER_SECOND * seconds);
			return;
		}
		double weight = this.known ? 1 - Math.exp(-seconds / AVERAGING_SECONDS) : 1;
		this.known = true;
		this.utilization += weight * (room.utilization() - this.utilization);
		this.queuedPerSlot = Math.max(MINIMUM_QUEUED_PER_SLOT,
				Math.min(MAXIMUM_QUEUED_PER_SLOT, WAIT_FRACTION * objectiveMillis / workMillis));
		double pressure = Math.max(0, Math.min(MAXIMUM_PRESSURE, (this.utilization - 1) / this.queuedPerSlot));
		this.value = Math.max(MINIMUM,
				Math.min(1, this.value + INCREASE_PER_SECOND * seconds * (1 - this.value * pressure)));
	}

	/**
	 * Returns the fraction of the demanded work that is admitted.
	 * @return the fraction, up to 1
	 */
	double value() {
		return this.value;
	}

	/**
	 * Returns the requests for each slot that the servers can take before the level
	 * falls: one that is processed, and those that wait for a short time.
	 * @return the requests for each slot, above 1
	 */
	double permittedUtilization() {
		return 1 + this.queuedPerSlot;
	}

	/**
	 * Returns the requests for each slot that the servers would have if all were
	 * admitted.
	 * @return the requests for each slot, or zero if it is not known
	 */
	double demandedUtilization() {
		return this.utilization / this.value;
	}

}
