package io.masticlane.placement;

import java.util.concurrent.TimeUnit;

/**
 * The part of a service's objects that a region serves itself. Until there is traffic it
 * is the region's part of the slots; then it follows the slots and the load of the
 * region's servers in small steps, so that few requests change their region at once.
 */
public final class LocalShare {

	/**
	 * The load of the region's servers above which objects move out.
	 */
	private static final double HIGH_LOAD = 0.8;

	/**
	 * The load of the region's servers below which objects move back.
	 */
	private static final double LOW_LOAD = 0.55;

	/**
	 * The load below which there is too little traffic to learn from.
	 */
	private static final double IDLE_LOAD = 0.05;

	/**
	 * The change a second; requests that change their region in two seconds stay far
	 * below the cap on shifts.
	 */
	private static final double STEP_PER_SECOND = 0.02;

	/**
	 * How much more than its even part of the demand a region is first given.
	 */
	private static final double INITIAL_HEADROOM = 1.3;

	private double share = -1;

	private double slotsPart;

	/**
	 * What is left to move after the region's part of the slots changed.
	 */
	private double pending;

	private boolean settled;

	private long updatedAt;

	/**
	 * Updates the share.
	 * @param localSlots the slots of the region's servers
	 * @param allSlots the slots of all servers
	 * @param regions the number of regions
	 * @param load the load of the region's servers, where one is full
	 * @param busiest the load of the busiest region
	 * @param now the present in nanoseconds
	 */
	public void update(double localSlots, double allSlots, int regions, double load, double busiest, long now) {
		double formerPart = this.slotsPart;
		this.slotsPart = Math.min(1, INITIAL_HEADROOM * regions * localSlots / Math.max(1, allSlots));
		double step = STEP_PER_SECOND * (now - this.updatedAt) / TimeUnit.SECONDS.toNanos(1);
		this.updatedAt = now;
		if (!this.settled) {
			this.share = this.slotsPart;
			this.settled = busiest > IDLE_LOAD;
			return;
		}
		this.pending += this.slotsPart - formerPart;
		if (this.pending != 0) {
			double moved = Math.max(-step, Math.min(step, this.pending));
			this.pending -= moved;
			move(moved);
		}
		else if (load > HIGH_LOAD) {
			move(-step);
		}
		else if (load < LOW_LOAD && load > IDLE_LOAD) {
			move(step);
		}
	}

	/**
	 * Returns whether the region serves an object itself.
	 * @param object the hash of the object
	 * @return whether the region serves the object itself
	 */
	public boolean holds(long object) {
		return Rendezvous.fraction(object ^ 0x5bd1e995L) < this.share;
	}

	/**
	 * Returns the share.
	 * @return the share from 0 to 1
	 */
	public double share() {
		return Math.max(0, this.share);
	}

	private void move(double change) {
		this.share = Math.max(0, Math.min(1, this.share + change));
	}

}
