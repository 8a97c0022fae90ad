package io.masticlane.placement;

/**
 * The load of a service's servers in a region.
 *
 * @param load the requests that the servers are processing or have queued
 * @param slots the slots of the servers
 */
record RegionLoad(double load, double slots) {

	private static final RegionLoad NONE = new RegionLoad(0, 0);

	static RegionLoad none() {
		return NONE;
	}

	double utilization() {
		return this.load / Math.max(1, this.slots);
	}

}
