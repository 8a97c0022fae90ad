package io.masticlane.admission;

import java.util.List;
import java.util.OptionalDouble;
import java.util.function.DoubleSupplier;

/**
 * Decides which requests to the servers of a service in a region are rejected while more
 * work is demanded than the servers can take and routes of different priorities compete
 * for it.
 */
final class OverloadControl {

	/**
	 * The admitted fraction below which the service counts as overloaded, and the one
	 * from which on it no longer does.
	 */
	private static final double OVERLOAD_START_FRACTION = 0.95;

	private static final double OVERLOAD_END_FRACTION = 0.99;

	/**
	 * The average utilization above which single servers without a free slot admit the
	 * most urgent requests first. Objects are served by few servers, so that some of them
	 * are overloaded before all slots of the region are in use. Below it, a queue is
	 * short and requests that were refused for it would only return.
	 */
	private static final double BUSY_UTILIZATION = 0.8;

	/**
	 * The fraction of the demanded work that the most urgent routes need for others to be
	 * rejected in their favour. Below it, a few urgent requests, such as those that test
	 * a new route, would have most others rejected that fit beside them.
	 */
	private static final double MINIMUM_URGENT_FRACTION = 0.1;

	private final Demand demand = new Demand();

	private final OverloadLevel level = new OverloadLevel();

	private final Credits credits;

	private Room room = Room.NONE;

	private boolean overloaded;

	/**
	 * Creates a control that admits all requests until servers report queues.
	 * @param random returns numbers from 0 to 1
	 */
	OverloadControl(DoubleSupplier random) {
		this.credits = new Credits(random);
	}

	/**
	 * Decides about a request.
	 * @param arrival the arrival of the request
	 * @return empty if the request is admitted, else the time in which the servers
	 * complete the excess work, in milliseconds
	 */
	OptionalDouble rejection(Arrival arrival) {
		this.demand.record(arrival);
		if (isAdmitted(arrival)) {
			this.demand.recordAdmitted(arrival);
			return OptionalDouble.empty();
		}
		double excess = Math.max(this.level.demandedUtilization() - this.level.permittedUtilization(),
				arrival.serverUtilization() - 1);
		return OptionalDouble.of(Math.max(0, excess) * this.demand.meanWorkMillis());
	}

	/**
	 * Updates the level.
	 * @param updated what the servers can take
	 * @param now the current time in nanoseconds
	 */
	void update(Room updated, long now) {
		this.room = updated;
		this.demand.decay(now);
		this.level.update(updated, this.demand.urgentObjectiveMillis(), this.demand.meanWorkMillis(), now);
		this.overloaded = this.demand
			.admittedFraction() < (this.overloaded ? OVERLOAD_END_FRACTION : OVERLOAD_START_FRACTION);
	}

	/**
	 * Returns whether the control has nothing to remember.
	 * @return whether there is no demand and all requests are admitted
	 */
	boolean isIdle() {
		return this.demand.isEmpty() && this.level.value() >= 1 && !this.overloaded;
	}

	boolean isOverloaded() {
		return this.overloaded;
	}

	/**
	 * Returns the state for operators.
	 * @return the state
	 */
	OverloadState state() {
		return new OverloadState(this.overloaded, this.room.slots() * this.level.permittedUtilization(),
				this.room.slots() * this.level.demandedUtilization(), this.level.value(),
				this.demand.admittedFraction());
	}

	private boolean isAdmitted(Arrival arrival) {
		boolean full = !arrival.slotFree() && this.level.demandedUtilization() > BUSY_UTILIZATION;
		if (this.level.value() >= 1 && !full) {
			return true;
		}
		double urgentFraction = this.demand.mostUrgentFraction();
		if (urgentFraction < MINIMUM_URGENT_FRACTION || urgentFraction >= 1) {
			return true;
		}
		List<Demand.KindDemand> kinds = this.demand.inOrder();
		double floor = KindFractions.FLOOR * this.demand.admittedFraction();
		double admitted = full ? Math.min(this.level.value(), KindFractions.levelForMostUrgent(floor, kinds))
				: this.level.value();
		return this.credits.admit(arrival,
				KindFractions.divide(admitted, Math.min(admitted, floor), kinds).get(arrival.kind()));
	}

}
